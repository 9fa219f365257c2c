package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Warns about a scope in which no partner has records.
 *
 * <p>A scope costs availability: a proxy blocks its records while it is disconnected from the
 * control group. Declaring a scope ahead of a partner is legitimate, because a version that widens
 * the scopes has to wait for every proxy.
 */
final class UnusedScope implements SetCheck {
    private static final int PREFIX_INDEX = 2;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        return lines.of(Rule.Scope.class).stream()
                .filter(line -> unused(lines, (Rule.Scope) line.rule()))
                .map(
                        line ->
                                line.lexed()
                                        .warning(
                                                "UnusedScope",
                                                line.lexed().column(PREFIX_INDEX),
                                                "no partner has records in this scope",
                                                "remove the line, or keep it if a partner line"
                                                        + " follows later"))
                .toList();
    }

    private static boolean unused(SourceLines lines, Rule.Scope scope) {
        return !lines.partners().anyWithin(scope.group(), scope.prefix());
    }
}
