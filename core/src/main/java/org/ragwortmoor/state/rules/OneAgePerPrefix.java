package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Refuses a second {@code age} line that states another duration for the same prefix.
 *
 * <p>The accepted age would depend on the order of the lines.
 */
final class OneAgePerPrefix implements SetCheck {
    private static final int DURATION = 3;

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
        return line.statement()
                .error(
                        "OneAgePerPrefix",
                        line.statement().column(DURATION),
                        "line " + first.line() + " states another age for the same records",
                        "remove one of the lines");
    }
}
