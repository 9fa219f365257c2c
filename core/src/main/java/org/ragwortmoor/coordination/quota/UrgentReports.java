package org.ragwortmoor.coordination.quota;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a report may be sent ahead of time because an operation waits: at most every 60 ms
 * on average. Two may follow each other at once, because with a fixed interval 2% of the operations
 * of small workspaces were refused for want of an answer in time.
 */
public final class UrgentReports {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private long nextRegularAt;

    /** Creates an instance that permits reports immediately. */
    public UrgentReports(long now) {
        nextRegularAt = now;
    }

    /** Reserves the next report and returns the time until it may be sent, in nanoseconds. */
    public long reserve(long now) {
        long wait = Math.max(0, nextRegularAt - INTERVAL_NANOS - now);
        long sentAt = now + wait;
        nextRegularAt = (sentAt - nextRegularAt > 0 ? sentAt : nextRegularAt) + INTERVAL_NANOS;
        return wait;
    }
}
