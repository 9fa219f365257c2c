package org.ragwortmoor.coordination.control;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Spaces the promotions of a group, so that a group whose endpoints fail in turn does not flap.
 *
 * <p>The first promotion after a quiet minute begins at once. After n promotions within a minute
 * the next begins 1, 2, 4 and at most 8 seconds after the last one completed. The bound leaves the
 * rest of the 18 s that a primary change may take at full size to detection and promotion.
 *
 * <p>A promotion for a certain reason, such as a primary that is leaving, waits 1 second at most:
 * proxies send a leaving primary nothing new, so each further second is a write gap, and requests
 * with the default deadline of 5 s were refused.
 */
final class PromotionPacing {
    private static final long WINDOW_NANOS = 60_000_000_000L;
    private static final long FIRST_NANOS = 1_000_000_000L;
    private static final int MOST_DOUBLINGS = 3;

    private final Deque<Long> completions = new ArrayDeque<>();

    void completed(long now) {
        completions.addLast(now);
        forget(now);
    }

    /** Returns the earliest time for the next promotion. */
    long notBefore(boolean certain, long now) {
        forget(now);
        if (completions.isEmpty()) {
            return now;
        }
        int doublings = certain ? 0 : Math.min(MOST_DOUBLINGS, completions.size() - 1);
        return completions.getLast() + (FIRST_NANOS << doublings);
    }

    private void forget(long now) {
        while (!completions.isEmpty() && now - completions.getFirst() > WINDOW_NANOS) {
            completions.removeFirst();
        }
    }
}
