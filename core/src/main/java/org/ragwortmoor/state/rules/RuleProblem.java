package org.ragwortmoor.state.rules;

import java.util.Comparator;
import java.util.Locale;

/**
 * An error or warning about a line of a rule file.
 *
 * @param severity whether the file is refused
 * @param check name of the check, documented under {@code docs/checks}
 * @param line number of the line, starting at 1
 * @param column column in UTF-16 characters, starting at 1; one behind the end of the line if
 *     something is missing there
 * @param message what is wrong
 * @param remedy what to do
 */
public record RuleProblem(
        Severity severity, String check, int line, int column, String message, String remedy) {
    /** Order in which problems are reported. */
    public static final Comparator<RuleProblem> BY_PLACE =
            Comparator.comparingInt(RuleProblem::line)
                    .thenComparingInt(RuleProblem::column)
                    .thenComparing(RuleProblem::check);

    /** How grave a problem is. */
    public enum Severity {
        /** The file is refused. */
        ERROR,
        /** The file is accepted, but a line may not do what was meant. */
        WARNING
    }

    /** Returns the problem on one line, in the form of compiler messages. */
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
