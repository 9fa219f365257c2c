package org.ragwortmoor.coordination.engine;

/** Reasons why a request gets no result. */
public enum ErrorKind {
    /** The proxy has more work than it can finish in time. */
    OVERLOADED,
    /** The deadline passed. */
    DEADLINE_EXCEEDED,
    /** No primary can be reached. */
    NO_PRIMARY,
    /** No endpoint has data that is new enough for the request. */
    TOO_OLD,
    /** A failover discarded the log suffix that contains the session's position. */
    POSITION_LOST,
    /** A concurrent transaction committed a conflicting change first. */
    CONFLICT,
    /** An earlier outcome query cancelled the write. */
    CANCELLED,
    /** The transaction is not open on this proxy. */
    UNKNOWN_TRANSACTION,
    /** The transaction belongs to another session. */
    FOREIGN_TRANSACTION,
    /** The proxy is stopping. */
    STOPPING,
    /** The connection or endpoint failed while the request was in flight. */
    CONNECTION_LOST,
    /** The request is malformed. */
    BAD_REQUEST,
    /** No such group. */
    UNKNOWN_GROUP,
    /** A rule refuses the operation to this session. */
    FORBIDDEN,
    /** The proxy may have missed a rule version that forbids the operation. */
    RULES_EXPIRED,
    /** The session token is invalid. */
    BAD_TOKEN,
    /** The session token has expired. */
    TOKEN_EXPIRED
}
