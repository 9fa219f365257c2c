package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Rejects a partner's prefix that no scope of its group covers.
 *
 * <p>A proxy that is disconnected from the control group blocks only records in declared scopes. It
 * would still serve a record outside of them after a new version has forbidden it.
 */
final class PartnerInsideScope implements SetCheck {
    private static final int PREFIX_INDEX = 3;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        return lines.of(Rule.Partner.class).stream()
                .filter(line -> !covered(lines, (Rule.Partner) line.rule()))
                .map(PartnerInsideScope::problem)
                .toList();
    }

    private static boolean covered(SourceLines lines, Rule.Partner partner) {
        return lines.scopes().longest(partner.group(), partner.prefix()) != null;
    }

    private static RuleProblem problem(SourceLine line) {
        Rule.Partner partner = (Rule.Partner) line.rule();
        return line.lexed()
                .error(
                        "PartnerInsideScope",
                        line.lexed().column(PREFIX_INDEX),
                        "the partner's prefix lies in no scope of group '" + partner.group() + "'",
                        "add the line: "
                                + new Rule.Scope(partner.group(), partner.prefix()).text()
                                + "  # requested by NAME: reason");
    }
}
