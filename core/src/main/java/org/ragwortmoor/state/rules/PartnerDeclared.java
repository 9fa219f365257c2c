package org.ragwortmoor.state.rules;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Rejects an {@code allow} or {@code deny} line whose partner no {@code partner} line declares.
 *
 * <p>Otherwise a line with a misspelt partner would silently have no effect.
 */
final class PartnerDeclared implements SetCheck {
    private static final int PARTNER_INDEX = 3;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        Set<String> declared = new TreeSet<>();
        lines.of(Rule.Partner.class)
                .forEach(line -> declared.add(((Rule.Partner) line.rule()).name()));
        return lines.of(Rule.AccessRule.class).stream()
                .filter(line -> !declared.contains(((Rule.AccessRule) line.rule()).partner()))
                .map(line -> problem(line, declared))
                .toList();
    }

    private static RuleProblem problem(SourceLine line, Set<String> declared) {
        return line.lexed()
                .error(
                        "PartnerDeclared",
                        line.lexed().column(PARTNER_INDEX),
                        "no partner line declares '"
                                + ((Rule.AccessRule) line.rule()).partner()
                                + "'",
                        declared.isEmpty()
                                ? "add a partner line"
                                : "add a partner line or name one of " + declared);
    }
}
