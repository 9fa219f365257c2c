package org.ragwortmoor.coordination.quota;

/** Clock, timers and reports that the account of a proxy needs from its process. */
public interface QuotaHost {
    /** Returns the monotonic clock, in nanoseconds. */
    long now();

    /** Returns the wall clock minus the monotonic clock, in milliseconds. */
    long clockOffsetMillis();

    /** Runs a task when {@link #now} has reached the deadline, or shortly afterwards. */
    void schedule(long deadline, Runnable task);

    /** A report should be sent without delay, because an operation waits for a token. */
    void reportNeeded();

    /** An operation of a limited workspace was decided. */
    void decided(String workspace, Decision decision);

    /** The decisions about operations of limited workspaces. */
    enum Decision {
        /** A token was held. */
        PERMITTED,
        /** A token was granted while the operation waited. */
        PERMITTED_AFTER_WAIT,
        /** The leader has no free token. */
        EXHAUSTED,
        /** No answer of the leader arrived in time. */
        UNANSWERED
    }
}
