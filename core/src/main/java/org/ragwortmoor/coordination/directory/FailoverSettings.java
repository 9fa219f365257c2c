package org.ragwortmoor.coordination.directory;

import java.util.concurrent.TimeUnit;

/** Times of failure detection and promotion, in nanoseconds. */
final class FailoverSettings {
    /** Age up to which a proxy's report counts. */
    static final long REPORT_LIFE = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Silence after which a proxy counts as having lost the primary: a probe and a new try. */
    static final long SILENT = TimeUnit.MILLISECONDS.toNanos(600);

    /** The same when connections are refused, which a slow server does not do. */
    static final long REFUSED = TimeUnit.MILLISECONDS.toNanos(400);

    /** Silence from which a proxy's silence is taken to go on after its report. */
    static final long OVERDUE = TimeUnit.MILLISECONDS.toNanos(250);

    /** Time without a primary after which one is chosen; servers announce every 1.2 s or less. */
    static final long PRIMARYLESS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** Longest time to wait for the positions of the replicas. */
    static final long SURVEY = TimeUnit.MILLISECONDS.toNanos(350);

    /** Longest time in which a leaving primary's last commits may reach a replica. */
    static final long HAND_OVER = TimeUnit.MILLISECONDS.toNanos(700);

    /** Pause between two surveys of a hand-over; replicas receive within a few round trips. */
    static final long RESURVEY = TimeUnit.MILLISECONDS.toNanos(40);

    /** Time after which a call without an answer is repeated with the same token. */
    static final long CALL_RETRY = TimeUnit.MILLISECONDS.toNanos(800);

    /** Pause after a failed call, so that the platform's rate is kept. */
    static final long CALL_BACKOFF = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Calls of one order at most, before another server is chosen. A new order would void a call
     * that is only late, and calls are carried out up to 12 s late.
     */
    static final int CALLS = 16;

    /** Time after an accepted promotion in which no other is ordered. */
    static final long SETTLE = TimeUnit.MILLISECONDS.toNanos(2_500);

    private FailoverSettings() {}
}
