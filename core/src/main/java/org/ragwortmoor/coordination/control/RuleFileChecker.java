package org.ragwortmoor.coordination.control;

import io.vavr.control.Either;
import java.util.List;

/** Checks the text of a rule file before it is proposed. */
@FunctionalInterface
public interface RuleFileChecker {
    /** Returns the errors of the text, one per line concerned, or its summary. */
    Either<List<String>, RuleFileSummary> check(String text);
}
