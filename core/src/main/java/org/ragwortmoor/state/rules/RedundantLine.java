package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;

/**
 * Warns of a line that another line of the same kind already covers.
 *
 * <p>Removing one of the two would change nothing, although its requester may expect it to.
 */
final class RedundantLine implements SetCheck {
    @Override
    public List<RuleProblem> check(SourceLines lines) {
        return lines.all().stream()
                .flatMap(line -> covering(lines, line).map(o -> problem(line, o)).toJavaStream())
                .toList();
    }

    private static Option<SourceLine> covering(SourceLines lines, SourceLine line) {
        Rule rule = line.rule();
        if (rule instanceof Rule.Scope scope) {
            return inPrefixes(lines.scopes(), scope.group(), scope.prefix(), line, s -> true);
        }
        if (rule instanceof Rule.Partner partner) {
            return inPrefixes(
                    lines.partners(),
                    partner.group(),
                    partner.prefix(),
                    line,
                    other -> ((Rule.Partner) other).name().equals(partner.name()));
        }
        if (rule instanceof Rule.Age age) {
            return inPrefixes(
                    lines.ages(),
                    age.group(),
                    age.prefix(),
                    line,
                    other -> ((Rule.Age) other).millis() == age.millis());
        }
        return coveringGrant(lines, line, (Rule.Grant) rule);
    }

    private static Option<SourceLine> inPrefixes(
            GroupedPrefixes<SourceLine> index,
            String group,
            String prefix,
            SourceLine line,
            java.util.function.Predicate<Rule> sameEffect) {
        SourceLine first = index.longest(group, prefix);
        SourceLine other = first.line() == line.line() ? index.enclosing(group, prefix) : first;
        return Option.of(other).filter(o -> sameEffect.test(o.rule()));
    }

    /** Of two lines that cover each other, only the later one is redundant. */
    private static Option<SourceLine> coveringGrant(
            SourceLines lines, SourceLine line, Rule.Grant grant) {
        return Option.ofOptional(
                lines.grants(grant.partner()).stream()
                        .filter(
                                other ->
                                        other.line() != line.line()
                                                && sameKind(other.rule(), grant))
                        .filter(other -> ((Rule.Grant) other.rule()).covers(grant))
                        .filter(
                                other ->
                                        other.line() < line.line()
                                                || !grant.covers((Rule.Grant) other.rule()))
                        .findFirst());
    }

    private static boolean sameKind(Rule one, Rule other) {
        return one.getClass() == other.getClass();
    }

    private static RuleProblem problem(SourceLine line, SourceLine other) {
        return line.statement()
                .warning(
                        "RedundantLine",
                        line.statement().column(0),
                        "line " + other.line() + " already covers this line",
                        "remove one of the two");
    }
}
