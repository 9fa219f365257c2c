package org.ragwortmoor.state.endpoint;

/** Why an endpoint refused a call. A refused call has had no effect. */
public enum RefusalKind {
    /** The endpoint is not the primary of the stated term. */
    NOT_PRIMARY,
    /** The endpoint promised a higher term. */
    FENCED,
    /** Too many statements are waiting for a slot. */
    BUSY,
    /** Another transaction committed a conflicting change first. */
    CONFLICT,
    /** The endpoint is leaving and accepts no new work. */
    LEAVING,
    /** The connection limit is reached. */
    CONNECTION_LIMIT,
    /** This attempt of the write or a later one was cancelled. */
    CANCELLED,
    /** The connection has no transaction with this number. */
    UNKNOWN_TRANSACTION,
    /** The call is malformed. */
    BAD_REQUEST
}
