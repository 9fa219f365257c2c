package org.ragwortmoor.coordination.control;

import io.vavr.control.Either;
import java.util.List;

/** Validates the text of a rule file before it is proposed. */
@FunctionalInterface
public interface RuleFileChecker {
    /** Returns the summary of a valid text, or its errors, one per affected line. */
    Either<List<String>, RuleFileSummary> check(String text);
}
