package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Refuses a partner's prefix that no scope of its group covers.
 *
 * <p>A proxy that is cut off from the control group holds back the declared scopes only. A record
 * outside of them would still be served after a version that forbids it.
 */
final class PartnerInsideScope implements SetCheck {
    private static final int PREFIX = 3;

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
        return line.statement()
                .error(
                        "PartnerInsideScope",
                        line.statement().column(PREFIX),
                        "the partner's prefix lies in no scope of group '" + partner.group() + "'",
                        "add the line: "
                                + new Rule.Scope(partner.group(), partner.prefix()).text()
                                + "  # requested by NAME: reason");
    }
}
