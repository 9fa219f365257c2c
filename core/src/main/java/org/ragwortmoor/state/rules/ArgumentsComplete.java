package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;

/**
 * Rejects a line with missing, surplus or misplaced arguments.
 *
 * <p>Guessing the intended arguments could apply the rule to other records. Only a prefix may be
 * empty (written {@code ""}); it stands for all records of the group.
 */
final class ArgumentsComplete implements LineCheck {
    @Override
    public Option<RuleProblem> check(LexedLine line) {
        return line.keyword().flatMap(keyword -> firstProblem(line, keyword));
    }

    private static Option<RuleProblem> firstProblem(LexedLine line, Keyword keyword) {
        List<String> parameters = keyword.parameters();
        for (int i = 1; i <= parameters.size(); i++) {
            String parameter = parameters.get(i - 1);
            if (i >= line.words().size()) {
                return problem(line, keyword, i, parameter + " is missing");
            }
            String name = nameOf(parameter);
            if (!line.text(i).startsWith(name)) {
                return problem(line, keyword, i, parameter + " is expected here");
            }
            if (line.text(i).length() == name.length() && !parameter.equals("PREFIX")) {
                return problem(line, keyword, i, parameter + " is empty");
            }
        }
        int surplus = parameters.size() + 1;
        return surplus < line.words().size()
                ? problem(line, keyword, surplus, "the line has too many words")
                : Option.none();
    }

    private static Option<RuleProblem> problem(
            LexedLine line, Keyword keyword, int word, String message) {
        return Option.of(
                line.error(
                        "ArgumentsComplete",
                        line.column(word),
                        message,
                        "write the line as: "
                                + keyword.usage()
                                + " (quote words that contain spaces)"));
    }

    /**
     * Returns the name of a named argument with its equals sign, such as {@code session=}, or an
     * empty string for a positional argument.
     */
    private static String nameOf(String parameter) {
        return parameter.substring(0, parameter.indexOf('=') + 1);
    }
}
