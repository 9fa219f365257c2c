package org.ragwortmoor.coordination.consensus;

/** The role of a node in its current term. */
public enum Role {
    /** Replicates the log of a leader; also the role of learners. */
    FOLLOWER,
    /** Requests pre-votes, without starting a new term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Replicates its log to the other members. */
    LEADER,
    /** Does not participate until a restart, because a write failed. */
    FAILED
}
