package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Reads rule files; the grammar is in {@code docs/rules.md}.
 *
 * <p>All problems of a file are reported in one run. Checks of lines against each other see the
 * lines that could be read, so an error in one line can cause a second one in a line that refers to
 * it.
 */
public final class RuleParser {
    /**
     * Longest rule file, in UTF-16 characters. The file travels as one log entry and one message to
     * each proxy.
     */
    public static final int MAX_LENGTH = 1 << 20;

    private static final List<LineCheck> LINE_CHECKS =
            List.of(
                    new ReadableWords(),
                    new KnownKeyword(),
                    new ArgumentsComplete(),
                    new OperationsKnown(),
                    new DurationReadable());

    private static final LineCheck REQUESTER_CHECK = new RequesterRequired();

    private static final List<SetCheck> SET_CHECKS =
            List.of(
                    new PartnerDeclared(),
                    new PartnerInsideScope(),
                    new OnePartnerPerPrefix(),
                    new OneAgePerPrefix(),
                    new OverlappingPartners(),
                    new ShadowedLine(),
                    new RedundantLine(),
                    new UnusedScope());

    /** Stands in for a missing requester while the remaining checks run; never in a result. */
    private static final Requester MISSING = new Requester("", Option.none());

    private final List<RuleProblem> problems = new ArrayList<>();
    private final List<SourceLine> lines = new ArrayList<>();

    private RuleParser() {}

    /** Reads a rule file. */
    public static ParseResult parse(String text) {
        if (text.length() > MAX_LENGTH) {
            return new ParseResult(Option.none(), List.of(tooLong(text.length())));
        }
        return new RuleParser().run(text);
    }

    /** Returns the names of all checks; each has a page in {@code docs/checks}. */
    public static Set<String> checkNames() {
        Set<String> names = new java.util.TreeSet<>();
        LINE_CHECKS.forEach(check -> names.add(check.getClass().getSimpleName()));
        names.add(REQUESTER_CHECK.getClass().getSimpleName());
        SET_CHECKS.forEach(check -> names.add(check.getClass().getSimpleName()));
        return names;
    }

    private ParseResult run(String text) {
        String[] source = text.split("\n", -1);
        for (int i = 0; i < source.length; i++) {
            String line = source[i].endsWith("\r") ? cut(source[i]) : source[i];
            if (!LineLexer.holdsNoRule(line)) {
                read(LineLexer.lex(i + 1, line));
            }
        }
        SourceLines all = new SourceLines(lines);
        SET_CHECKS.forEach(check -> problems.addAll(check.check(all)));
        problems.sort(RuleProblem.BY_PLACE);
        boolean refused =
                problems.stream().anyMatch(p -> p.severity() == RuleProblem.Severity.ERROR);
        return new ParseResult(
                refused
                        ? Option.none()
                        : Option.of(RuleSet.of(lines.stream().map(SourceLine::content).toList())),
                problems);
    }

    private void read(Statement statement) {
        boolean complete = true;
        for (LineCheck check : LINE_CHECKS) {
            complete &= check.check(statement).peek(problems::add).isEmpty();
        }
        REQUESTER_CHECK.check(statement).peek(problems::add);
        if (complete) {
            Requester requester =
                    statement
                            .comment()
                            .flatMap(comment -> Requester.parse(comment.text()))
                            .getOrElse(MISSING);
            RuleLine content = new RuleLine(statement.line(), rule(statement), requester);
            lines.add(new SourceLine(statement, content));
        }
    }

    private static Rule rule(Statement s) {
        return switch (s.completeKeyword().get()) {
            case SCOPE -> new Rule.Scope(s.text(1), s.text(2));
            case PARTNER -> new Rule.Partner(s.text(1), s.text(2), s.text(3));
            case ALLOW -> new Rule.Allow(operations(s), session(s), partner(s));
            case DENY -> new Rule.Deny(operations(s), session(s), partner(s));
            case AGE -> new Rule.Age(s.text(1), s.text(2), RuleDuration.parse(s.text(3)).get());
        };
    }

    private static Operations operations(Statement statement) {
        return Operations.parse(statement.text(1)).get();
    }

    private static SessionPattern session(Statement statement) {
        return new SessionPattern(statement.text(2).substring("session=".length()));
    }

    private static String partner(Statement statement) {
        return statement.text(3).substring("partner=".length());
    }

    private static String cut(String line) {
        return line.substring(0, line.length() - 1);
    }

    private static RuleProblem tooLong(int length) {
        return new RuleProblem(
                RuleProblem.Severity.ERROR,
                "RuleParser",
                1,
                1,
                "the file has " + length + " characters",
                "shorten it to at most " + MAX_LENGTH + ", for example by shorter reasons");
    }
}
