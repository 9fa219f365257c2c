package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Refuses a line without a comment that names its requester.
 *
 * <p>Every decision on a request must be traceable to the person who asked for the rule.
 */
final class RequesterRequired implements LineCheck {
    @Override
    public Option<RuleProblem> check(Statement statement) {
        if (statement.fault().isDefined()
                || statement.comment().flatMap(c -> Requester.parse(c.text())).isDefined()) {
            return Option.none();
        }
        int column = statement.comment().map(Word::column).getOrElse(statement.length() + 1);
        return Option.of(
                statement.error(
                        "RequesterRequired",
                        column,
                        "the line does not name its requester",
                        "end it with '# requested by NAME: reason'"));
    }
}
