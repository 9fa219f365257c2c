package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.statement.StatementMessage;

/** Timeouts and limits of the session engine. */
final class SessionSettings {
    /** Timeout for opening a connection, which normally takes about 12 ms. */
    static final long OPEN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Time after which an unfinished opening indicates that the server may be unreachable. */
    static final long SLOW_OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Pause after a failed connection attempt; short compared with a restart of the server, long
     * compared with a refused attempt.
     */
    static final long OPEN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Interval of periodic work, and thus the resolution of failure detection. */
    static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Age of the newest proof of leadership at which the leader is probed. */
    static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Timeout of a probe; it needs no slot, so only network latency or a failure delays it. */
    static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /** Timeout of the statements that confirm an error; they need no slot. */
    static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /** Pause before a server that denied its leadership is used again. */
    static final long DENIED_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** Time of denied leadership after which the other servers are probed. */
    static final long LEADER_SEARCH_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Interval between probes of the other servers; each probe takes one round trip. */
    static final long LEADER_SEARCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Time without a proof after which a leader counts as unreachable; covers a probe and a new
     * connection.
     */
    static final long LEADER_LOST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time without an answer to a pending statement after which a server is avoided. */
    static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Pause before a statement that found no free slot is retried. */
    static final long BUSY_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /** Maximum number of attempts per statement. */
    static final int MAX_ATTEMPTS = 12;

    /** Time for which a draining primary still receives new work. */
    static final long LEADER_DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    /** Change of the clock offset from which the process counts as having been suspended. */
    static final long SUSPENSION_THRESHOLD_MILLIS = 60;

    /** Maximum age of proofs of leadership that are kept. */
    static final long PROOF_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Time for which answers to commits in progress are still passed on after the directory has
     * withheld a lease; a commit normally takes less.
     */
    static final long LEASE_RELEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time without a proof after which a proxy gives up its lease on the leader. */
    static final long LEASE_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Fraction of the statement timeout after which a statement not yet sent is refused. */
    static final double SEND_DEADLINE_FRACTION = 0.9;

    /** Time within which the connection of a statement must be closed after its deadline. */
    static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Time for which no connections beyond the share are opened to a server that was full. */
    static final long OVERLOAD_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Idle time after which a connection beyond the retained ones is closed. */
    static final long SURPLUS_IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Time for which a statement waits for a connection of its workspace that is in use, before an
     * idle one of another workspace is closed for it; most statements end within 55 ms. Without the
     * wait, there were 0.35 instead of 0.30 openings per operation in a trial with 84 workspaces.
     */
    static final long REPLACEMENT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    /** Idle connections that are opened to each server in advance. */
    static final int MIN_IDLE_CONNECTIONS = 1;

    /** Time for which a proxy that has declined a statement is avoided. */
    static final long DECLINED_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Interval between checks of the link while the answer to a forwarded read is awaited. */
    static final long LINK_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /**
     * Time beyond the idle limit of a transaction after which a holder rolls it back; the proxy of
     * the caller, which normally does that, must have failed.
     */
    static final long FORWARDED_IDLE_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Maximum number of executions for one other proxy; bounds the memory. */
    static final int MAX_STREAMS_PER_LINK = 1_000;

    /** Time after its last use for which a proxy that is no holder probes the leader of a group. */
    static final long GROUP_USE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * Part of the latency objective for which an operation may wait for the operation gate, as a
     * divisor; a later refusal costs the caller more than an early one.
     */
    static final int GATE_WAIT_DIVISOR = 4;

    /** Maximum number of queued statements per session. */
    static final int MAX_BACKLOG = 64;

    /** Retry delay that a refused caller is told; a promotion takes longer. */
    static final int RETRY_AFTER_MILLIS = 150;

    /**
     * Maximum time that a caller waits for the first routes; callers themselves time out after 2 s.
     */
    static final long ROUTES_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private SessionSettings() {}

    /**
     * Maximum size of the id and text of a statement that reaches servers in another form, in
     * bytes. A required position, the name of a prepared statement and the word QUERY are added.
     */
    static final int MAX_CHANGED_STATEMENT_BYTES = StatementMessage.MAX_BYTES - 80;

    /** Maximum size of an error text, in bytes; the code and a retry delay are added. */
    static final int MAX_ERROR_TEXT_BYTES = 4 << 10;
}
