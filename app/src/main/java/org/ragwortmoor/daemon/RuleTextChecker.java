package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import java.util.List;
import java.util.stream.Collectors;
import org.ragwortmoor.coordination.control.RuleFileChecker;
import org.ragwortmoor.coordination.control.RuleFileSummary;
import org.ragwortmoor.coordination.control.RuleScope;
import org.ragwortmoor.state.rules.ParseResult;
import org.ragwortmoor.state.rules.Rule;
import org.ragwortmoor.state.rules.RuleParser;
import org.ragwortmoor.state.rules.RuleSet;

/** Checks a rule file by the grammar and returns the scopes that it declares. */
final class RuleTextChecker implements RuleFileChecker {
    private static final String FILE = "rules";

    @Override
    public Either<List<String>, RuleFileSummary> check(String text) {
        ParseResult result = RuleParser.parse(text);
        return result.rules()
                .map(RuleTextChecker::summary)
                .toEither(() -> result.errors().stream().map(e -> e.text(FILE)).toList());
    }

    private static RuleFileSummary summary(RuleSet rules) {
        return new RuleFileSummary(
                rules.lines().stream()
                        .filter(line -> line.rule() instanceof Rule.Scope)
                        .map(line -> (Rule.Scope) line.rule())
                        .map(scope -> new RuleScope(scope.group(), scope.prefix()))
                        .collect(Collectors.toSet()));
    }
}
