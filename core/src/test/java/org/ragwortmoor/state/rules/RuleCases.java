package org.ragwortmoor.state.rules;

import java.util.List;

/** Helper methods for tests of rule files. */
final class RuleCases {
    private RuleCases() {}

    /** Returns the positions, as {@code line:column}, at which {@code check} reports a problem. */
    static List<String> positions(String check, String... lines) {
        return RuleParser.parse(String.join("\n", lines)).problems().stream()
                .filter(p -> p.check().equals(check))
                .map(p -> p.line() + ":" + p.column())
                .toList();
    }

    /** Parses lines without errors; lines without a comment get a requester. */
    static RuleSet rules(String... lines) {
        StringBuilder text = new StringBuilder();
        for (String line : lines) {
            text.append(line).append(line.contains("#") ? "\n" : " # requested by A\n");
        }
        ParseResult result = RuleParser.parse(text.toString());
        return result.rules().getOrElseThrow(() -> new AssertionError(result.problems()));
    }
}
