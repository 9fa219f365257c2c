package org.ragwortmoor.coordination.consensus;

/** Role of a node in the current term. */
public enum Role {
    /** Receives entries; also the role of learners. */
    FOLLOWER,
    /** Asks whether it could win, without a new term. */
    PRE_CANDIDATE,
    /** Asks for votes. */
    CANDIDATE,
    /** Replicates its log. */
    LEADER,
    /** A write has failed; takes no part until a restart. */
    FAILED
}
