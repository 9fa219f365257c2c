package org.ragwortmoor.state.statement;

/** Error codes of the statement protocol. */
public enum ErrorCode {
    /** Not run: the server has no free slot. */
    BUSY,
    /** Not committed: the transaction was rolled back. */
    ABORTED,
    /** Not run: the server's log does not contain the required position yet. */
    LAGGING,
    /** Not run: the server is not the primary of its group. */
    READONLY,
    /** Not run: the address belongs to another server. */
    MISROUTED,
    /** Not run: the proxy or the server is overloaded. */
    OVERLOAD,
    /** Not run: the session has no prepared statement with this name. */
    UNKNOWN,
    /** Not run: there is no route for the database. */
    NODB,
    /** Not run: the caller's key belongs to no workspace. */
    UNAUTH,
    /** Not run: the message is invalid in the current state of the session. */
    MALFORMED,
    /** Executed and failed. */
    FAILED,
    /** The timeout expired; the statement may have been executed. */
    TIMEOUT,
    /** It is unknown whether the transaction was committed. */
    INDOUBT;

    /**
     * Returns the code with this name, or {@link #FAILED}, which makes no promise about the
     * statement's effect, for an unknown name.
     */
    public static ErrorCode fromName(String name) {
        for (ErrorCode code : values()) {
            if (code.name().equals(name)) {
                return code;
            }
        }
        return FAILED;
    }

    /** Returns whether a server that answers with this code has not executed the statement. */
    public boolean notExecuted() {
        return this == BUSY || this == READONLY || this == LAGGING || this == UNKNOWN;
    }
}
