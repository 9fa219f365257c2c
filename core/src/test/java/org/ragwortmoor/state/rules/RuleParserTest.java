package org.ragwortmoor.state.rules;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Guards against texts that crash the parser and against rules that change when they are printed
 * and parsed again.
 */
class RuleParserTest {
    private static final String[] PIECES = {
        "scope",
        "partner",
        "allow",
        "deny",
        "age",
        "f",
        "c/",
        "read,write",
        "session=a*",
        "partner=C",
        "5s",
        "# requested by A",
        "#",
        ":",
        "\"",
        "\\",
        " ",
        "\t",
        "\n",
        "\r\n",
        "\r",
        "\u200b",
        "\ud800",
        "\u0000",
        "="
    };

    @Provide
    Arbitrary<String> texts() {
        Arbitrary<String> pieces =
                Arbitraries.of(PIECES).list().ofMaxSize(40).map(l -> String.join("", l));
        Arbitrary<String> spaced =
                Arbitraries.of(PIECES).list().ofMaxSize(40).map(l -> String.join(" ", l));
        return Arbitraries.oneOf(pieces, spaced, Arbitraries.strings().all().ofMaxLength(60));
    }

    @Property(tries = 2000, seed = "20261204")
    void anyTextGivesRulesOrErrorsWithValidPositions(@ForAll("texts") String text) {
        ParseResult result = RuleParser.parse(text);
        assertThat(result.rules().isEmpty()).isEqualTo(!result.errors().isEmpty());
        String[] lines = text.split("\n", -1);
        for (RuleProblem problem : result.problems()) {
            assertThat(problem.line()).isBetween(1, lines.length);
            assertThat(problem.column()).isBetween(1, lines[problem.line() - 1].length() + 1);
            assertThat(problem.remedy()).isNotEmpty();
        }
        result.rules().peek(RuleParserTest::assertPrintsToEqualSet);
    }

    @Property(tries = 500, seed = "20261204")
    void printedRulesParseToAnEqualSet(@ForAll("rules") List<RuleLine> lines) {
        List<RuleLine> all = new ArrayList<>();
        Requester requester = new Requester("A", Option.none());
        all.add(new RuleLine(1, new Rule.Scope("f", ""), requester));
        all.add(new RuleLine(2, new Rule.Partner("C", "f", "c\\ \"#/"), requester));
        all.addAll(lines);
        assertPrintsToEqualSet(RuleSet.of(all));
    }

    @Provide
    Arbitrary<List<RuleLine>> rules() {
        Arbitrary<String> word =
                Arbitraries.strings()
                        .withChars("ab*=/ \t#\"\\:\u00e9")
                        .ofMinLength(1)
                        .ofMaxLength(6);
        Arbitrary<Operations> operations = Arbitraries.of(Operations.class);
        Arbitrary<SessionPattern> session = word.map(SessionPattern::new);
        Arbitrary<Rule> rule =
                Arbitraries.oneOf(
                        word.map(prefix -> new Rule.Scope("f", prefix)),
                        word.map(prefix -> new Rule.Partner("C", "f", prefix)),
                        word.map(group -> new Rule.Age(group, "", group.hashCode() & 0xfffff)),
                        Combinators.combine(operations, session)
                                .as((o, s) -> new Rule.Allow(o, s, "C")),
                        Combinators.combine(operations, session)
                                .as((o, s) -> new Rule.Deny(o, s, "C")));
        Arbitrary<Requester> requester =
                Combinators.combine(
                                Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(5),
                                Arbitraries.of("x: y", "# 5").optional())
                        .as((name, reason) -> new Requester(name, Option.ofOptional(reason)));
        return Combinators.combine(rule, requester)
                .as((r, by) -> new RuleLine(9, r, by))
                .list()
                .ofMaxSize(8);
    }

    private static void assertPrintsToEqualSet(RuleSet set) {
        ParseResult again = RuleParser.parse(set.text());
        assertThat(again.errors()).isEmpty();
        assertThat(again.rules().get()).isEqualTo(set);
    }

    @Example
    void reportsAllProblemsSortedByPosition() {
        ParseResult result =
                RuleParser.parse(
                        """
                        scope f
                        allow all session=x partner=C
                        partner C f c/ # requested by A""");
        assertThat(result.problems())
                .extracting(RuleProblem::check)
                .containsExactly(
                        "ArgumentsComplete",
                        "RequesterRequired",
                        "OperationsKnown",
                        "RequesterRequired",
                        "PartnerInsideScope");
        assertThat(result.problems().get(2).text("rules.txt"))
                .startsWith("rules.txt:2:7: error: 'all' names no operations; write read");
    }

    @Example
    void refusesAFileThatIsTooLong() {
        String text = "#".repeat(RuleParser.MAX_LENGTH);
        assertThat(RuleParser.parse(text).errors()).isEmpty();
        assertThat(RuleParser.parse(text + "#").errors()).hasSize(1);
    }

    @Example
    void everyCheckHasAPage() {
        assertThat(RuleParser.checkNames()).hasSize(14);
        for (String check : RuleParser.checkNames()) {
            assertThat(Files.exists(Path.of("..", "docs", "checks", check + ".md")))
                    .as(check)
                    .isTrue();
        }
    }
}
