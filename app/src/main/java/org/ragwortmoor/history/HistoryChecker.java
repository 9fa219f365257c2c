package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides whether a history keeps the promises to callers. The history ends with {@link
 * RequestKind#FINAL} reads of all keys at level strong.
 *
 * <p>The checks rely on these properties of a history: every value is written by one request only,
 * a record is either put or incremented, a session has one request at a time, and all times are
 * read from one monotonic clock.
 */
public final class HistoryChecker {
    private static final List<HistoryCheck> CHECKS =
            List.of(
                    new EffectCheck(),
                    new SessionCheck(),
                    new LinearizabilityCheck(),
                    new AgeCheck(),
                    new AnswerCheck(),
                    new TransactionCheck());

    private HistoryChecker() {}

    /** Returns all violations; none if the history keeps the promises. */
    public static List<Violation> check(List<HistoryRecord> records) {
        HistoryIndex index = new HistoryIndex(records);
        List<Violation> found = new ArrayList<>();
        for (HistoryCheck check : CHECKS) {
            found.addAll(check.check(index));
        }
        return List.copyOf(found);
    }
}
