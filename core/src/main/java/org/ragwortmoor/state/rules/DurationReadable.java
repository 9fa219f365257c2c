package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Rejects an {@code age} line without a valid duration.
 *
 * <p>A duration without a unit is rejected, since guessing the unit could be wrong by a factor of
 * 1,000.
 */
final class DurationReadable implements LineCheck {
    private static final int DURATION_INDEX = 3;

    @Override
    public Option<RuleProblem> check(LexedLine line) {
        return line.completeKeyword()
                .filter(k -> k == Keyword.AGE)
                .filter(k -> RuleDuration.parse(line.text(DURATION_INDEX)).isEmpty())
                .map(
                        k ->
                                line.error(
                                        "DurationReadable",
                                        line.column(DURATION_INDEX),
                                        "'" + line.text(DURATION_INDEX) + "' is no duration",
                                        "write a whole number and one of ms, s, m, h, d,"
                                                + " for example 5s; at most 366d"));
    }
}
