package org.ragwortmoor.state.rules;

import java.util.Comparator;
import java.util.Locale;

/**
 * An error or warning about a line of a rule file.
 *
 * @param severity severity, which decides whether the file is rejected
 * @param check name of the check, documented under {@code docs/checks}
 * @param line number of the line, starting at 1
 * @param column column in UTF-16 characters, starting at 1; one after the end of the line if
 *     something is missing there
 * @param message description of the problem
 * @param remedy how to solve the problem
 */
public record RuleProblem(
        Severity severity, String check, int line, int column, String message, String remedy) {
    /** Order in which problems are reported. */
    public static final Comparator<RuleProblem> BY_POSITION =
            Comparator.comparingInt(RuleProblem::line)
                    .thenComparingInt(RuleProblem::column)
                    .thenComparing(RuleProblem::check);

    /** The severity of a problem. */
    public enum Severity {
        /** The file is rejected. */
        ERROR,
        /** The file is accepted, but a line may not have the intended effect. */
        WARNING
    }

    /** Returns the problem as one line, in the format of compiler messages. */
    public String text(String file) {
        return "%s:%d:%d: %s: %s; %s [%s]"
                .formatted(
                        file,
                        line,
                        column,
                        severity.name().toLowerCase(Locale.ROOT),
                        message,
                        remedy,
                        check);
    }
}
