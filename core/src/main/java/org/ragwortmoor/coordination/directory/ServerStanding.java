package org.ragwortmoor.coordination.directory;

/**
 * What a failover may assume of a server and do with it.
 *
 * <p>Four questions are answered separately, because each has servers of its own: a server that
 * leaves cannot be promoted for long but can hold the newest acknowledged commit, and a server that
 * has ended cannot be asked although its commits may still be needed.
 */
enum ServerStanding {
    /** Accepts work; also the server of a promotion that was ordered and is not confirmed. */
    READY_REPLICA(true, true, true, Choice.FIRST),

    /** The primary to be replaced; it is asked by the instruction to step down. */
    REPLACED_PRIMARY(true, false, true, Choice.SECOND),

    /** Finishes its work and ends soon, but receives commits until then. */
    DRAINING_REPLICA(true, true, true, Choice.THIRD),

    /** The primary to be replaced, which finishes its work and ends soon. */
    DRAINING_PRIMARY(true, false, true, Choice.LAST),

    /** The platform has rejected the promotion of the server. */
    REJECTED_REPLICA(true, true, true, Choice.NEVER),

    /** Has ended; other servers are not yet known to hold its commits. */
    DEPARTED(true, false, false, Choice.NEVER),

    /** Has ended, and its commits are held by others. */
    ENDED(false, false, false, Choice.NEVER);

    /** Order in which servers with the same claim are promoted. */
    enum Choice {
        FIRST,
        SECOND,
        THIRD,
        LAST,
        NEVER
    }

    private final boolean holdsCommits;
    private final boolean surveyed;
    private final boolean suspended;
    private final Choice choice;

    ServerStanding(boolean holdsCommits, boolean surveyed, boolean suspended, Choice choice) {
        this.holdsCommits = holdsCommits;
        this.surveyed = surveyed;
        this.suspended = suspended;
        this.choice = choice;
    }

    /** Returns whether the server may be the only one that holds an acknowledged commit. */
    boolean holdsCommits() {
        return holdsCommits;
    }

    /** Returns whether a survey with synchronous replicas waits for the server's position. */
    boolean surveyed() {
        return surveyed;
    }

    /** Returns whether a promotion with synchronous replicas first suspends the server. */
    boolean suspended() {
        return suspended;
    }

    /** Returns whether the server may be promoted, and which are preferred to it. */
    Choice choice() {
        return choice;
    }
}
