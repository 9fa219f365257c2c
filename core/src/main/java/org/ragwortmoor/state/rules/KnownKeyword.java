package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * Refuses a line that starts with an unknown keyword.
 *
 * <p>Skipping the line would leave records open that a misspelt line was to close.
 */
final class KnownKeyword implements LineCheck {
    @Override
    public Option<RuleProblem> check(Statement statement) {
        if (statement.fault().isDefined() || statement.keyword().isDefined()) {
            return Option.none();
        }
        String known =
                Arrays.stream(Keyword.values())
                        .map(Keyword::text)
                        .collect(Collectors.joining(", "));
        return Option.of(
                statement.error(
                        "KnownKeyword",
                        statement.column(0),
                        "'" + statement.text(0) + "' is no keyword",
                        "start the line with one of " + known + ", in lower case"));
    }
}
