package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.state.rules.RuleExplanation;
import org.ragwortmoor.state.rules.RuleSet;

/** Explains what a rule file says about a record and a principal. */
final class RulesExplain extends JsonCommand {
    @Argument(metaVar = "FILE", required = true, usage = "rule file")
    private String name;

    @Option(name = "--group", metaVar = "GROUP", required = true, usage = "group of the record")
    private String group;

    @Option(name = "--key", metaVar = "KEY", required = true, usage = "key of the record")
    private String key;

    @Option(
            name = "--principal",
            metaVar = "NAME",
            required = true,
            usage = "principal of the session")
    private String principal;

    @Override
    public ExitCode run(Console console) {
        Either<ExitCode, RuleSet> rules = RuleFile.rules(name, console);
        if (rules.isLeft()) {
            return rules.getLeft();
        }
        RuleExplanation explanation = RuleExplanation.of(rules.get(), group, key, principal);
        if (json()) {
            console.printJson(json(explanation));
        } else {
            console.out().print(explanation.text());
        }
        return ExitCode.OK;
    }

    private static ObjectNode json(RuleExplanation explanation) {
        ObjectNode json = Console.object();
        json.put("group", explanation.group());
        json.put("key", explanation.key());
        json.put("principal", explanation.principal());
        json.set("read", RuleFile.json(explanation.read()));
        json.set("write", RuleFile.json(explanation.write()));
        explanation.partner().peek(line -> json.set("partner", RuleFile.json(line)));
        explanation.scope().peek(line -> json.set("scope", RuleFile.json(line)));
        explanation.age().peek(line -> json.set("age", RuleFile.json(line)));
        ArrayNode matching = json.putArray("matching");
        explanation.matching().forEach(line -> matching.add(RuleFile.json(line)));
        return json;
    }
}
