package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;

/**
 * Refuses a line with missing, surplus or misplaced arguments.
 *
 * <p>A guess at what was meant could attach the rule to other records. Only a prefix may be empty
 * (written {@code ""}); it stands for the whole group.
 */
final class ArgumentsComplete implements LineCheck {
    @Override
    public Option<RuleProblem> check(Statement statement) {
        return statement.keyword().flatMap(keyword -> firstProblem(statement, keyword));
    }

    private static Option<RuleProblem> firstProblem(Statement statement, Keyword keyword) {
        List<String> parameters = keyword.parameters();
        for (int i = 1; i <= parameters.size(); i++) {
            String parameter = parameters.get(i - 1);
            if (i >= statement.words().size()) {
                return problem(statement, keyword, i, parameter + " is missing");
            }
            String name = nameOf(parameter);
            if (!statement.text(i).startsWith(name)) {
                return problem(statement, keyword, i, parameter + " is expected here");
            }
            if (statement.text(i).length() == name.length() && !parameter.equals("PREFIX")) {
                return problem(statement, keyword, i, parameter + " is empty");
            }
        }
        int surplus = parameters.size() + 1;
        return surplus < statement.words().size()
                ? problem(statement, keyword, surplus, "the line has too many words")
                : Option.none();
    }

    private static Option<RuleProblem> problem(
            Statement statement, Keyword keyword, int word, String message) {
        return Option.of(
                statement.error(
                        "ArgumentsComplete",
                        statement.column(word),
                        message,
                        "write the line as: "
                                + keyword.usage()
                                + " (quote words that contain spaces)"));
    }

    /** Returns the fixed start of an argument, such as {@code session=}; empty if it has none. */
    private static String nameOf(String parameter) {
        return parameter.substring(0, parameter.indexOf('=') + 1);
    }
}
