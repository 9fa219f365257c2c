package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Rejects a second {@code age} line with another duration for the same prefix.
 *
 * <p>The accepted age would depend on the order of the lines.
 */
final class OneAgePerPrefix implements SetCheck {
    private static final int DURATION_INDEX = 3;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        return lines.of(Rule.Age.class).stream()
                .filter(line -> !first(lines, line).rule().equals(line.rule()))
                .map(line -> problem(first(lines, line), line))
                .toList();
    }

    private static SourceLine first(SourceLines lines, SourceLine line) {
        Rule.Age age = (Rule.Age) line.rule();
        return lines.ages().longest(age.group(), age.prefix());
    }

    private static RuleProblem problem(SourceLine first, SourceLine line) {
        return line.lexed()
                .error(
                        "OneAgePerPrefix",
                        line.lexed().column(DURATION_INDEX),
                        "line " + first.line() + " states another age for the same records",
                        "remove one of the lines");
    }
}
