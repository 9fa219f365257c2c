package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;

/**
 * Warns of an {@code allow} line that {@code deny} lines cancel, completely or for one operation.
 *
 * <p>{@code deny} wins, so the requester of the {@code allow} line does not get what the line says.
 */
final class ShadowedLine implements SetCheck {
    @Override
    public List<RuleProblem> check(SourceLines lines) {
        List<RuleProblem> problems = new ArrayList<>();
        for (SourceLine line : lines.of(Rule.Allow.class)) {
            for (Access access : Access.values()) {
                shadow(lines, line, access).peek(deny -> problems.add(problem(line, access, deny)));
            }
        }
        return problems;
    }

    private static Option<SourceLine> shadow(SourceLines lines, SourceLine line, Access access) {
        Rule.Allow allow = (Rule.Allow) line.rule();
        if (!allow.operations().includes(access)) {
            return Option.none();
        }
        Rule.Allow part =
                new Rule.Allow(Operations.valueOf(access.name()), allow.session(), allow.partner());
        return Option.ofOptional(
                lines.grants(allow.partner()).stream()
                        .filter(
                                other ->
                                        other.rule() instanceof Rule.Deny deny && deny.covers(part))
                        .findFirst());
    }

    private static RuleProblem problem(SourceLine line, Access access, SourceLine deny) {
        String operation = Operations.valueOf(access.name()).text();
        return line.statement()
                .warning(
                        "ShadowedLine",
                        line.statement().column(1),
                        operation + " has no effect, line " + deny.line() + " denies it",
                        "remove " + operation + " here or narrow the deny line");
    }
}
