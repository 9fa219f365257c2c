package org.ragwortmoor.state.rules;

import java.util.List;

/**
 * Rejects a second partner with the same prefix in the same group.
 *
 * <p>A record belongs to the partner with the longest prefix of its key; with equal prefixes the
 * owner would depend on the order of the lines.
 */
final class OnePartnerPerPrefix implements SetCheck {
    private static final int PREFIX_INDEX = 3;

    @Override
    public List<RuleProblem> check(SourceLines lines) {
        return lines.of(Rule.Partner.class).stream()
                .filter(line -> !owner(lines, line).name().equals(partner(line).name()))
                .map(line -> problem(lines, line))
                .toList();
    }

    private static RuleProblem problem(SourceLines lines, SourceLine line) {
        SourceLine first = first(lines, line);
        return line.lexed()
                .error(
                        "OnePartnerPerPrefix",
                        line.lexed().column(PREFIX_INDEX),
                        "line "
                                + first.line()
                                + " gives the same records to '"
                                + ((Rule.Partner) first.rule()).name()
                                + "'",
                        "remove one of the lines or give one a longer prefix");
    }

    private static Rule.Partner owner(SourceLines lines, SourceLine line) {
        return partner(first(lines, line));
    }

    private static SourceLine first(SourceLines lines, SourceLine line) {
        return lines.partners().longest(partner(line).group(), partner(line).prefix());
    }

    private static Rule.Partner partner(SourceLine line) {
        return (Rule.Partner) line.rule();
    }
}
