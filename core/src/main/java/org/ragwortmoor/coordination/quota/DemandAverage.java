package org.ragwortmoor.coordination.quota;

import java.util.concurrent.TimeUnit;

/** Exponential moving average of the operations per second of a workspace at a proxy. */
final class DemandAverage {
    /** Time constant; several intervals between reports, so that single operations are smoothed. */
    private static final double TIME_CONSTANT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Time for which tokens are held in advance: that of a change of the leader. */
    private static final double HOLD_SECONDS = 2;

    /** Time after the last operation for which at least one token is held. */
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private double perSecond;
    private long lastAt;
    private boolean any;

    /** Counts an operation. */
    void add(long now) {
        perSecond = perSecond(now) + NANOS_PER_SECOND / TIME_CONSTANT_NANOS;
        lastAt = now;
        any = true;
    }

    /** Returns the number of tokens to hold in advance. */
    int tokens(long now) {
        if (!any || now - lastAt >= RECENT_NANOS) {
            return 0;
        }
        return Math.max(1, (int) Math.ceil(perSecond(now) * HOLD_SECONDS - 1));
    }

    private double perSecond(long now) {
        return any ? perSecond * Math.exp((lastAt - now) / TIME_CONSTANT_NANOS) : 0;
    }
}
