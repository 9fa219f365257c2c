package org.ragwortmoor.state.rules;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Refuses an {@code allow} or {@code deny} line of a partner that no {@code partner} line declares.
 *
 * <p>A misspelt name would silently leave the line without effect.
 */
final class PartnerDeclared implements SetCheck {
    private static final int PARTNER = 3;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        Set<String> declared = new TreeSet<>();
        lines.of(Rule.Partner.class)
                .forEach(line -> declared.add(((Rule.Partner) line.rule()).name()));
        return lines.of(Rule.Grant.class).stream()
                .filter(line -> !declared.contains(((Rule.Grant) line.rule()).partner()))
                .map(line -> problem(line, declared))
                .toList();
    }

    private static RuleProblem problem(SourceLine line, Set<String> declared) {
        return line.statement()
                .error(
                        "PartnerDeclared",
                        line.statement().column(PARTNER),
                        "no partner line declares '" + ((Rule.Grant) line.rule()).partner() + "'",
                        declared.isEmpty()
                                ? "add a partner line"
                                : "add a partner line or name one of " + declared);
    }
}
