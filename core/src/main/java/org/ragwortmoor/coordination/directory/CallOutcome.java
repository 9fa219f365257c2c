package org.ragwortmoor.coordination.directory;

/** Outcome of a promotion call to the platform. */
public enum CallOutcome {
    /** The platform accepted the promotion and carries it out. */
    ACCEPTED,
    /** The fencing token is too low, or the server is not running. */
    REJECTED,
    /** No definite answer was received; the platform may still carry out the promotion. */
    UNKNOWN
}
