package org.ragwortmoor.state.rules;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;

/**
 * The result of parsing a rule file.
 *
 * @param rules parsed rules; none if there is an error
 * @param problems all errors and warnings, sorted by line and column
 */
public record ParseResult(Option<RuleSet> rules, List<RuleProblem> problems) {
    /** Copies the list. */
    public ParseResult {
        problems = List.copyOf(problems);
    }

    /** Returns the errors. */
    public List<RuleProblem> errors() {
        return of(RuleProblem.Severity.ERROR);
    }

    /** Returns the warnings. */
    public List<RuleProblem> warnings() {
        return of(RuleProblem.Severity.WARNING);
    }

    /** Returns the rules, or the errors. */
    public Either<List<RuleProblem>, RuleSet> either() {
        return rules.toEither(this::errors);
    }

    private List<RuleProblem> of(RuleProblem.Severity severity) {
        return problems.stream().filter(p -> p.severity() == severity).toList();
    }
}
