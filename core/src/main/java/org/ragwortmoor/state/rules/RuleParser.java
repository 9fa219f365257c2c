package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Parses rule files; the grammar is in {@code docs/rules.md}.
 *
 * <p>All problems of a file are reported at once. Checks that compare lines see only those that
 * could be parsed, so an error in one line can cause a second one in a line that refers to it.
 */
public final class RuleParser {
    /**
     * Maximum length of a rule file, in UTF-16 characters. The file is replicated as one log entry
     * and sent to each proxy in one message.
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

    /**
     * Placeholder for a missing requester while the remaining checks run; never part of a result.
     */
    private static final Requester MISSING_REQUESTER = new Requester("", Option.none());

    private final List<RuleProblem> problems = new ArrayList<>();
    private final List<SourceLine> lines = new ArrayList<>();

    private RuleParser() {}

    /** Parses a rule file. */
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
            String line = source[i].endsWith("\r") ? withoutCarriageReturn(source[i]) : source[i];
            if (!LineLexer.isBlankOrComment(line)) {
                parseLine(LineLexer.lex(i + 1, line));
            }
        }
        SourceLines all = new SourceLines(lines);
        SET_CHECKS.forEach(check -> problems.addAll(check.check(all)));
        problems.sort(RuleProblem.BY_POSITION);
        boolean rejected =
                problems.stream().anyMatch(p -> p.severity() == RuleProblem.Severity.ERROR);
        return new ParseResult(
                rejected
                        ? Option.none()
                        : Option.of(RuleSet.of(lines.stream().map(SourceLine::content).toList())),
                problems);
    }

    private void parseLine(LexedLine lexed) {
        boolean complete = true;
        for (LineCheck check : LINE_CHECKS) {
            complete &= check.check(lexed).peek(problems::add).isEmpty();
        }
        REQUESTER_CHECK.check(lexed).peek(problems::add);
        if (complete) {
            Requester requester =
                    lexed.comment()
                            .flatMap(comment -> Requester.parse(comment.text()))
                            .getOrElse(MISSING_REQUESTER);
            RuleLine content = new RuleLine(lexed.line(), rule(lexed), requester);
            lines.add(new SourceLine(lexed, content));
        }
    }

    private static Rule rule(LexedLine s) {
        return switch (s.completeKeyword().get()) {
            case SCOPE -> new Rule.Scope(s.text(1), s.text(2));
            case PARTNER -> new Rule.Partner(s.text(1), s.text(2), s.text(3));
            case ALLOW -> new Rule.Allow(operations(s), session(s), partner(s));
            case DENY -> new Rule.Deny(operations(s), session(s), partner(s));
            case AGE -> new Rule.Age(s.text(1), s.text(2), RuleDuration.parse(s.text(3)).get());
        };
    }

    private static Operations operations(LexedLine lexed) {
        return Operations.parse(lexed.text(1)).get();
    }

    private static SessionPattern session(LexedLine lexed) {
        return new SessionPattern(lexed.text(2).substring("session=".length()));
    }

    private static String partner(LexedLine lexed) {
        return lexed.text(3).substring("partner=".length());
    }

    private static String withoutCarriageReturn(String line) {
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
