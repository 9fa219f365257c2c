package org.ragwortmoor.coordination.quota;

import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.workspace.RateLimit;

/**
 * Settings of the quotas of workspaces.
 *
 * @param windowSeconds length of the sliding window; 0 if there are no quotas
 * @param excess fraction by which a window may exceed the limit
 * @param slack operations by which a window may exceed the limit in addition
 */
public record QuotaSettings(double windowSeconds, double excess, double slack) {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /**
     * Time for which a proxy may use its tokens after it sent its last confirmed report. Longer
     * than a change of the leader, so that proxies continue with the tokens that they hold.
     */
    static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Change of the clock offset from which the machine was suspended. */
    static final long SUSPENSION_THRESHOLD_MILLIS = 60;

    /**
     * The lease on the leader's clock. The clock of a proxy may run 2% slow, and a suspension that
     * is too short to be detected prolongs the lease.
     */
    static final long TAKE_BACK_NANOS =
            LEASE_NANOS
                    + LEASE_NANOS / 50
                    + TimeUnit.MILLISECONDS.toNanos(SUSPENSION_THRESHOLD_MILLIS);

    /** Time beyond the window for which a token counts as used; allows for drifting clocks. */
    private static final long USE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Fraction of the permitted operations for which there are tokens. */
    private static final double USABLE_FRACTION = 0.97;

    /** Returns whether operations are limited at all. */
    public boolean enabled() {
        return windowSeconds > 0;
    }

    /** Returns the window, in nanoseconds. */
    public long windowNanos() {
        return (long) (windowSeconds * NANOS_PER_SECOND);
    }

    /** Returns the time for which a token counts as used, in nanoseconds. */
    long useNanos() {
        return windowNanos() + USE_MARGIN_NANOS;
    }

    /** Returns the time after which no token of a silent proxy counts as used, in nanoseconds. */
    long forgetNanos() {
        return TAKE_BACK_NANOS + useNanos();
    }

    /** Returns the number of tokens of a workspace. */
    long tokens(RateLimit limit) {
        return (long) (USABLE_FRACTION * (operationsPerWindow(limit) * (1 + excess) + slack));
    }

    /** Returns the operations that a window may contain without excess and slack. */
    double operationsPerWindow(RateLimit limit) {
        return limit.ratePerSecond() * windowSeconds + limit.burst();
    }
}
