package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;

/**
 * Warns about a line that another line of the same kind already covers.
 *
 * <p>Removing one of the two lines would have no effect, although its requester may expect one.
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
        return coveringAccessLine(lines, line, (Rule.AccessRule) rule);
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

    /** Of two lines that cover each other, only the later one is reported. */
    private static Option<SourceLine> coveringAccessLine(
            SourceLines lines, SourceLine line, Rule.AccessRule accessRule) {
        return Option.ofOptional(
                lines.accessLines(accessRule.partner()).stream()
                        .filter(
                                other ->
                                        other.line() != line.line()
                                                && sameKind(other.rule(), accessRule))
                        .filter(other -> ((Rule.AccessRule) other.rule()).covers(accessRule))
                        .filter(
                                other ->
                                        other.line() < line.line()
                                                || !accessRule.covers(
                                                        (Rule.AccessRule) other.rule()))
                        .findFirst());
    }

    private static boolean sameKind(Rule one, Rule other) {
        return one.getClass() == other.getClass();
    }

    private static RuleProblem problem(SourceLine line, SourceLine other) {
        return line.lexed()
                .warning(
                        "RedundantLine",
                        line.lexed().column(0),
                        "line " + other.line() + " already covers this line",
                        "remove one of the two");
    }
}
