package org.ragwortmoor.coordination.admission;

import java.util.concurrent.TimeUnit;

/**
 * Decides until when a statement waits for a primary that does not answer.
 *
 * <p>Load: the statements of a group whose primary has crashed, was cut off or is being replaced. A
 * statement that waits until the next primary is there succeeds, while a caller that is refused
 * often returns at once and uses up its attempts. A statement whose time ends before the next
 * primary can be there is refused early, with the time until then.
 */
public final class OutageForecast {
    /** Time from the first unanswered request until a promoted server normally accepts work. */
    private static final long FAILOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

    /** Time that a promotion takes after the last lease on the replaced primary has ended. */
    private static final long PROMOTION_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Divisor of the latency objective; the quotient is the wait if no end is in sight. */
    private static final int HOPELESS_WAIT_DIVISOR = 5;

    private static final int MIN_RETRY_AFTER_MILLIS = 150;
    private static final int MAX_RETRY_AFTER_MILLIS = 2_000;

    private final long outageNanos;
    private final long leaseNanos;

    /**
     * Creates a forecast.
     *
     * @param outageNanos time since the primary was last known to answer; 0 if it answers
     * @param leaseNanos duration of a lease on a primary, for which a promotion may have to wait; 0
     *     if there are no leases
     */
    public OutageForecast(long outageNanos, long leaseNanos) {
        this.outageNanos = outageNanos;
        this.leaseNanos = leaseNanos;
    }

    /**
     * Returns until when a statement waits.
     *
     * @param sendDeadline time by which the statement must be sent, in nanoseconds
     * @param targetNanos latency objective of the statement
     */
    public long waitDeadline(long now, long sendDeadline, long targetNanos) {
        boolean mayBeServed = now + remainingNanos() - sendDeadline <= 0;
        if (outageNanos < FAILOVER_NANOS || (endInSight() && mayBeServed)) {
            return sendDeadline;
        }
        long shortWait = now + targetNanos / HOPELESS_WAIT_DIVISOR;
        return shortWait - sendDeadline < 0 ? shortWait : sendDeadline;
    }

    /**
     * Returns the delay that a refused caller is told, in milliseconds. It is spread over callers,
     * so that they do not return at the same moment.
     *
     * @param spread number between 0 and 1 that differs between callers
     */
    public int retryAfterMillis(double spread) {
        long remaining = TimeUnit.NANOSECONDS.toMillis(outageNanos == 0 ? 0 : remainingNanos());
        long base = Math.max(MIN_RETRY_AFTER_MILLIS, remaining);
        return (int) Math.min(MAX_RETRY_AFTER_MILLIS, base + (long) (spread * base / 2));
    }

    private boolean endInSight() {
        return outageNanos < longestOutage();
    }

    private long longestOutage() {
        return leaseNanos == 0
                ? FAILOVER_NANOS
                : Math.max(FAILOVER_NANOS, leaseNanos + PROMOTION_NANOS);
    }

    private long remainingNanos() {
        long expectedEnd = outageNanos < FAILOVER_NANOS ? FAILOVER_NANOS : longestOutage();
        return Math.max(0, expectedEnd - outageNanos);
    }
}
