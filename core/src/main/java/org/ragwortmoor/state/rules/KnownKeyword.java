package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * Rejects a line that starts with an unknown keyword.
 *
 * <p>If such a line were skipped, a misspelt keyword would leave records accessible that the line
 * was meant to protect.
 */
final class KnownKeyword implements LineCheck {
    @Override
    public Option<RuleProblem> check(LexedLine line) {
        if (line.lexError().isDefined() || line.keyword().isDefined()) {
            return Option.none();
        }
        String known =
                Arrays.stream(Keyword.values())
                        .map(Keyword::text)
                        .collect(Collectors.joining(", "));
        return Option.of(
                line.error(
                        "KnownKeyword",
                        line.column(0),
                        "'" + line.text(0) + "' is no keyword",
                        "start the line with one of " + known + ", in lower case"));
    }
}
