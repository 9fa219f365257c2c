package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Warns about a partner's prefix inside the prefix of another partner.
 *
 * <p>Only the longest prefix decides, so the {@code allow} and {@code deny} lines of the outer
 * partner do not apply to these records. That is legitimate but easily overlooked.
 */
final class OverlappingPartners implements SetCheck {
    private static final int PREFIX_INDEX = 3;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        return lines.of(Rule.Partner.class).stream()
                .filter(line -> insideAnother(lines, (Rule.Partner) line.rule()))
                .map(line -> problem(lines, line))
                .toList();
    }

    private static boolean insideAnother(SourceLines lines, Rule.Partner partner) {
        SourceLine outer = lines.partners().enclosing(partner.group(), partner.prefix());
        return outer != null && !((Rule.Partner) outer.rule()).name().equals(partner.name());
    }

    private static RuleProblem problem(SourceLines lines, SourceLine line) {
        Rule.Partner partner = (Rule.Partner) line.rule();
        SourceLine outer = lines.partners().enclosing(partner.group(), partner.prefix());
        return line.lexed()
                .warning(
                        "OverlappingPartners",
                        line.lexed().column(PREFIX_INDEX),
                        "the prefix lies inside that of '"
                                + ((Rule.Partner) outer.rule()).name()
                                + "' in line "
                                + outer.line(),
                        "keep it if these records belong to '"
                                + partner.name()
                                + "' alone, otherwise remove one of the lines");
    }
}
