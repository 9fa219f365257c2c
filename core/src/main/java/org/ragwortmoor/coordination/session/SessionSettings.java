package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;

/** Times and limits of the session engine; times in nanoseconds. */
final class SessionSettings {
    /** Longest time until a new connection takes statements; opening takes about 12 ms. */
    static final long OPEN_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(700);

    /** Time after which an unfinished opening makes a server less likely to be there. */
    static final long SLOW_OPEN = TimeUnit.MILLISECONDS.toNanos(100);

    /** Pause after a failed connection attempt; short against a restart, long against a refusal. */
    static final long OPEN_BACKOFF = TimeUnit.MILLISECONDS.toNanos(150);

    /** Interval of maintenance; the resolution of detection times. */
    static final long TICK = TimeUnit.MILLISECONDS.toNanos(50);

    /** Age of the newest proof of leadership from which a probe is sent. */
    static final long PROBE_AGE = TimeUnit.MILLISECONDS.toNanos(300);

    /** Longest time of a probe; a probe needs no slot, so only distance and silence delay it. */
    static final long PROBE_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(350);

    /** Pause before a server that denied leadership is asked again. */
    static final long DENIED_RETRY = TimeUnit.MILLISECONDS.toNanos(40);

    /** Time of denials after which other servers are asked whether they lead. */
    static final long DENIED_SEARCH = TimeUnit.MILLISECONDS.toNanos(400);

    /** Interval at which the other servers are asked whether they lead; each takes a round trip. */
    static final long SEARCH_INTERVAL = TimeUnit.MILLISECONDS.toNanos(100);

    /** Silence after which a leader counts as out of reach; a probe and a new connection. */
    static final long LEADER_LOST = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time without a leader from which waiting is given up; detection and promotion take 1.6 s. */
    static final long LONG_OUTAGE = TimeUnit.MILLISECONDS.toNanos(1_800);

    /** Part of the latency objective for which a statement waits in a long outage. */
    static final int OUTAGE_PATIENCE = 5;

    /** Time without an answer to an outstanding statement after which a server is avoided. */
    static final long SILENCE = TimeUnit.MILLISECONDS.toNanos(400);

    /** Pause before a statement that found no free slot is sent again. */
    static final long BUSY_RETRY = TimeUnit.MILLISECONDS.toNanos(15);

    /** Attempts of one statement at most. */
    static final int MAX_ATTEMPTS = 12;

    /** Time after the notice of a drain for which a leaving primary still gets work. */
    static final long DRAIN_WORK = TimeUnit.MILLISECONDS.toNanos(4_500);

    /** Difference of the clocks from which the process counts as having been suspended. */
    static final long SUSPENDED_MILLIS = 60;

    /** Largest age of a proof of leadership that is remembered. */
    static final long PROOF_MEMORY = TimeUnit.SECONDS.toNanos(10);

    /** Share of the statement timeout after which a statement that was never sent is refused. */
    static final double WAIT_SHARE = 0.9;

    /** Time in which a statement's connection must end after its deadline has passed. */
    static final long ANSWER_MARGIN = TimeUnit.MILLISECONDS.toNanos(5);

    /** Connections that control and other callers may need on each server. */
    static final int RESERVED_CONNECTIONS = 3;

    /** Connections beyond the own share, as a multiple of it; proxies rarely peak together. */
    static final int BURST_FACTOR = 2;

    /** Time for which a full server is not asked for connections beyond the share. */
    static final long OVERLOAD_MEMORY = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which an unused connection beyond the share is closed. */
    static final long SURPLUS_IDLE = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Connections that are kept open to each server before they are needed. */
    static final int WARM_CONNECTIONS = 1;

    /** Statements that may wait in one session. */
    static final int MAX_BACKLOG = 64;

    /** Pause that a refused caller is told to wait, in milliseconds; a promotion takes longer. */
    static final int RETRY_AFTER_MILLIS = 150;

    /**
     * Longest time that a caller waits for the first routes, within the caller's own limit of 2 s.
     */
    static final long GREETING_WAIT = TimeUnit.MILLISECONDS.toNanos(1_500);

    private SessionSettings() {}
}
