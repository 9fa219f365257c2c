package org.ragwortmoor.coordination.directory;

import java.util.concurrent.TimeUnit;

/** Timeouts and limits of failure detection and promotion. */
final class FailoverSettings {
    /** Maximum age of a proxy's report that is still taken into account. */
    static final long REPORT_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /**
     * Time without an answer after which a proxy counts as having lost the primary; covers a probe
     * and a retry.
     */
    static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /**
     * The same timeout when connections are refused; shorter, because a server that is only slow
     * does not refuse connections.
     */
    static final long REFUSED_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Reported silence from which it is assumed to have continued after the report. */
    static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Time without a primary after which a replica is promoted; servers announce themselves at
     * least every 1.2 s.
     */
    static final long NO_PRIMARY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** Maximum time to wait for the log positions of the replicas. */
    static final long SURVEY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /** Maximum time to wait for a replica to receive the last commits of a draining primary. */
    static final long HANDOVER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /**
     * Interval between two surveys during a planned handover; replicas receive commits within a few
     * round trips.
     */
    static final long HANDOVER_SURVEY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Interval between two surveys while leases on the replaced primary are outstanding. */
    static final long SURVEY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time after which an unanswered call is repeated with the same fencing token. */
    static final long CALL_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Pause after a failed call or survey, which respects the rate limit of the platform. */
    static final long CALL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Time after an election in which a call of the earlier leader may still arrive. */
    static final long PREDECESSOR_CALL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Maximum time after which the platform carries out a call that it has not answered. */
    static final long MAX_CALL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(12);

    /**
     * Maximum number of calls for one order before another server is chosen. A new order would
     * invalidate a call that is merely delayed; the calls cover {@link #MAX_CALL_DELAY_NANOS}.
     */
    static final int MAX_CALLS_PER_ORDER = 16;

    /** Time after an accepted promotion during which no other is ordered. */
    static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private FailoverSettings() {}
}
