package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Locale;
import org.ragwortmoor.state.rules.Decision;
import org.ragwortmoor.state.rules.ParseResult;
import org.ragwortmoor.state.rules.RuleLine;
import org.ragwortmoor.state.rules.RuleParser;
import org.ragwortmoor.state.rules.RuleProblem;
import org.ragwortmoor.state.rules.RuleSet;

/**
 * A rule file that was read and checked.
 *
 * @param name name of the file as given
 * @param text its text
 * @param result result of the checks
 */
record RuleFile(String name, String text, ParseResult result) {
    /** Reads a file; prints the reason if that fails. */
    static Option<RuleFile> read(String name, Console console) {
        try {
            String text = Files.readString(Path.of(name));
            return Option.of(new RuleFile(name, text, RuleParser.parse(text)));
        } catch (CharacterCodingException e) {
            console.err().println(name + ": the file is not UTF-8; save it as UTF-8");
        } catch (IOException | InvalidPathException e) {
            console.err()
                    .println(name + ": the file cannot be read (" + e + "); name another file");
        }
        return Option.none();
    }

    /** Returns the rules of a readable file without errors; otherwise prints why not. */
    static Either<ExitCode, RuleSet> rules(String name, Console console) {
        Option<RuleFile> file = read(name, console);
        if (file.isEmpty()) {
            return Either.left(ExitCode.ENVIRONMENT);
        }
        ParseResult result = file.get().result();
        result.errors().forEach(problem -> console.err().println(problem.text(name)));
        return result.rules().toEither(ExitCode.REFUSED);
    }

    /** Returns the problems as JSON. */
    ObjectNode json() {
        ObjectNode json = Console.object();
        json.put("file", name);
        json.put("accepted", result.rules().isDefined());
        json.put("rules", result.rules().map(rules -> rules.lines().size()).getOrElse(0));
        ArrayNode problems = json.putArray("problems");
        for (RuleProblem problem : result.problems()) {
            problems.addObject()
                    .put("severity", problem.severity().name().toLowerCase(Locale.ROOT))
                    .put("check", problem.check())
                    .put("line", problem.line())
                    .put("column", problem.column())
                    .put("message", problem.message())
                    .put("remedy", problem.remedy());
        }
        return json;
    }

    /** Returns a line as JSON. */
    static ObjectNode json(RuleLine line) {
        ObjectNode json = Console.object();
        json.put("line", line.line());
        json.put("rule", line.rule().text());
        json.put("requester", line.requester().name());
        line.requester().reason().peek(reason -> json.put("reason", reason));
        return json;
    }

    /** Returns a decision as JSON. */
    static ObjectNode json(Decision decision) {
        ObjectNode json = Console.object();
        json.put("allowed", decision.allowed());
        json.put("reason", decision.reason().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        decision.line().peek(line -> json.set("decidedBy", json(line)));
        return json;
    }
}
