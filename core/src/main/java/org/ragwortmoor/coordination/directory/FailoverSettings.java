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

    /** Maximum time between the start of a survey of a server and its answer. */
    static final long MAX_SURVEY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Maximum time to wait for a change of the directory to be committed. */
    static final long RECORD_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** First interval between two instructions to suspend or resume the same replica. */
    static final long SUSPENSION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Number of promotions that the servers which answer may have missed. A suspension is above as
     * many further terms, because one that is not above the term of the primary has no effect.
     */
    static final long MISSED_PROMOTIONS = 100;

    /** Interval between two reports that no server can be promoted. */
    static final long BLOCKED_REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Maximum interval between two instructions to a server that does not follow them. */
    static final long MAX_INSTRUCTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

    /** Interval between two checks whether the commits of servers that have ended are held. */
    static final long DEPARTURE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /**
     * Time after which a server that has announced that it leaves has ended, unless it answers.
     * Servers go on for seconds after the announcement, and for more if nobody acknowledges it.
     */
    static final long MAX_LEAVING_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Number of surveys without an answer after which such a server has ended. */
    static final int SURVEYS_OF_LEAVER = 5;

    /** Pause after a survey in which too few servers have answered for a promotion. */
    static final long BLOCKED_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /**
     * Time after an election before a failover of the predecessor is continued; proxies that reach
     * a primary have reported by then.
     */
    static final long INHERITED_FAILOVER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

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
