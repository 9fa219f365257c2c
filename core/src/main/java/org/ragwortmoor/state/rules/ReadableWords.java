package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Refuses a line that cannot be split into words.
 *
 * <p>Unclosed quotes and invisible characters would let a line state something else than it shows
 * to the person who approves it.
 */
final class ReadableWords implements LineCheck {
    @Override
    public Option<RuleProblem> check(Statement statement) {
        return statement
                .fault()
                .map(
                        fault ->
                                statement.error(
                                        "ReadableWords",
                                        fault.column(),
                                        fault.message(),
                                        fault.remedy()));
    }
}
