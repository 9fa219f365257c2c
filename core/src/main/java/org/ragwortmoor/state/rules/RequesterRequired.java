package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Rejects a line without a comment that names its requester.
 *
 * <p>Every decision on a request must be traceable to the person who requested the rule.
 */
final class RequesterRequired implements LineCheck {
    @Override
    public Option<RuleProblem> check(LexedLine line) {
        if (line.lexError().isDefined()
                || line.comment().flatMap(c -> Requester.parse(c.text())).isDefined()) {
            return Option.none();
        }
        int column = line.comment().map(Word::column).getOrElse(line.length() + 1);
        return Option.of(
                line.error(
                        "RequesterRequired",
                        column,
                        "the line does not name its requester",
                        "end it with '# requested by NAME: reason'"));
    }
}
