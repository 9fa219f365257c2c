package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Refuses an {@code age} line without a readable duration.
 *
 * <p>A duration without a unit could be off by a factor of 1,000.
 */
final class DurationReadable implements LineCheck {
    private static final int DURATION = 3;

    @Override
    public Option<RuleProblem> check(Statement statement) {
        return statement
                .completeKeyword()
                .filter(k -> k == Keyword.AGE)
                .filter(k -> RuleDuration.parse(statement.text(DURATION)).isEmpty())
                .map(
                        k ->
                                statement.error(
                                        "DurationReadable",
                                        statement.column(DURATION),
                                        "'" + statement.text(DURATION) + "' is no duration",
                                        "write a whole number and one of ms, s, m, h, d,"
                                                + " for example 5s; at most 366d"));
    }
}
