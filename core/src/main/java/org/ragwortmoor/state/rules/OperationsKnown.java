package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Rejects an {@code allow} or {@code deny} line with operations other than read and write.
 *
 * <p>Each set of operations has exactly one spelling, so that files can be compared line by line.
 */
final class OperationsKnown implements LineCheck {
    @Override
    public Option<RuleProblem> check(LexedLine line) {
        return line.completeKeyword()
                .filter(k -> k == Keyword.ALLOW || k == Keyword.DENY)
                .filter(k -> Operations.parse(line.text(1)).isEmpty())
                .map(
                        k ->
                                line.error(
                                        "OperationsKnown",
                                        line.column(1),
                                        "'" + line.text(1) + "' names no operations",
                                        "write read, write or read,write (without spaces)"));
    }
}
