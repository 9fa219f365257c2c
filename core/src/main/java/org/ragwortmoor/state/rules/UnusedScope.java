package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Warns of a scope in which no partner has records.
 *
 * <p>A scope costs availability: its records are held back while a proxy is cut off from the
 * control group. Declaring a scope ahead of a partner is legitimate, because widening the scopes
 * waits for every proxy.
 */
final class UnusedScope implements SetCheck {
    private static final int PREFIX = 2;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        return lines.of(Rule.Scope.class).stream()
                .filter(line -> unused(lines, (Rule.Scope) line.rule()))
                .map(
                        line ->
                                line.statement()
                                        .warning(
                                                "UnusedScope",
                                                line.statement().column(PREFIX),
                                                "no partner has records in this scope",
                                                "remove the line, or keep it if a partner line"
                                                        + " follows later"))
                .toList();
    }

    private static boolean unused(SourceLines lines, Rule.Scope scope) {
        return !lines.partners().anyWithin(scope.group(), scope.prefix());
    }
}
