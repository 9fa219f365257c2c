package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;

/**
 * Warns about an {@code allow} line that {@code deny} lines override, completely or for one
 * operation.
 *
 * <p>{@code deny} takes precedence, so the {@code allow} line does not have the effect that its
 * requester expects.
 */
final class ShadowedLine implements SetCheck {
    @Override
    public List<RuleProblem> check(SourceLines lines) {
        List<RuleProblem> problems = new ArrayList<>();
        for (SourceLine line : lines.of(Rule.Allow.class)) {
            for (Access access : Access.values()) {
                denyingLine(lines, line, access)
                        .peek(deny -> problems.add(problem(line, access, deny)));
            }
        }
        return problems;
    }

    private static Option<SourceLine> denyingLine(
            SourceLines lines, SourceLine line, Access access) {
        Rule.Allow allow = (Rule.Allow) line.rule();
        if (!allow.operations().includes(access)) {
            return Option.none();
        }
        Rule.Allow part =
                new Rule.Allow(Operations.valueOf(access.name()), allow.session(), allow.partner());
        return Option.ofOptional(
                lines.accessLines(allow.partner()).stream()
                        .filter(
                                other ->
                                        other.rule() instanceof Rule.Deny deny && deny.covers(part))
                        .findFirst());
    }

    private static RuleProblem problem(SourceLine line, Access access, SourceLine deny) {
        String operation = Operations.valueOf(access.name()).text();
        return line.lexed()
                .warning(
                        "ShadowedLine",
                        line.lexed().column(1),
                        operation + " has no effect, line " + deny.line() + " denies it",
                        "remove " + operation + " here or narrow the deny line");
    }
}
