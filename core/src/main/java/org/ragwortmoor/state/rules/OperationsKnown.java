package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Refuses an {@code allow} or {@code deny} line with other operations than read and write.
 *
 * <p>One spelling per meaning keeps files comparable line by line.
 */
final class OperationsKnown implements LineCheck {
    @Override
    public Option<RuleProblem> check(Statement statement) {
        return statement
                .completeKeyword()
                .filter(k -> k == Keyword.ALLOW || k == Keyword.DENY)
                .filter(k -> Operations.parse(statement.text(1)).isEmpty())
                .map(
                        k ->
                                statement.error(
                                        "OperationsKnown",
                                        statement.column(1),
                                        "'" + statement.text(1) + "' names no operations",
                                        "write read, write or read,write (without spaces)"));
    }
}
