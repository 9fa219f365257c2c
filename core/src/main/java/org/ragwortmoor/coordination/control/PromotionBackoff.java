package org.ragwortmoor.coordination.control;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Exponential backoff between the promotions of a group, which prevents flapping if its endpoints
 * fail one after another.
 *
 * <p>A promotion begins immediately if none completed within the last minute. After n promotions
 * within a minute, the next one begins 1, 2, 4 and at most 8 seconds after the last one completed.
 * The upper bound leaves the rest of the 18 s that a change of the primary may take at full size
 * for detection and promotion.
 *
 * <p>A promotion for a confirmed reason, such as a leaving primary, is delayed by at most 1 second.
 * Proxies send no new work to a leaving primary, so each further second extends the write gap; with
 * longer delays, requests with the default deadline of 5 s were refused.
 */
final class PromotionBackoff {
    private static final long WINDOW_NANOS = 60_000_000_000L;
    private static final long INITIAL_DELAY_NANOS = 1_000_000_000L;
    private static final int MAX_DOUBLINGS = 3;

    private final Deque<Long> completions = new ArrayDeque<>();

    void completed(long now) {
        completions.addLast(now);
        removeExpired(now);
    }

    /** Returns the earliest time at which the next promotion may begin. */
    long earliestStart(boolean confirmed, long now) {
        removeExpired(now);
        if (completions.isEmpty()) {
            return now;
        }
        int doublings = confirmed ? 0 : Math.min(MAX_DOUBLINGS, completions.size() - 1);
        return completions.getLast() + (INITIAL_DELAY_NANOS << doublings);
    }

    private void removeExpired(long now) {
        while (!completions.isEmpty() && now - completions.getFirst() > WINDOW_NANOS) {
            completions.removeFirst();
        }
    }
}
