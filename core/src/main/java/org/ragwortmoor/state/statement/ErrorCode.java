package org.ragwortmoor.state.statement;

/** Error codes of the statement protocol. */
public enum ErrorCode {
    /** Not run: no free slot. */
    BUSY,
    /** Not kept: the transaction was rolled back. */
    ABORTED,
    /** Not run: the server's log lacks a demanded position. */
    LAGGING,
    /** Not run: the server does not lead its group. */
    READONLY,
    /** Not run: the address belongs to another server. */
    MISROUTED,
    /** Not run: the proxy or the server has no room. */
    OVERLOAD,
    /** Not run: a prepared name is unknown. */
    UNKNOWN,
    /** Not run: no route has the database's name. */
    NODB,
    /** Not run: the message cannot be understood in this state. */
    MALFORMED,
    /** Run and failed. */
    FAILED,
    /** The time limit passed; it may have run. */
    TIMEOUT,
    /** Whether it was kept is unknown. */
    INDOUBT;

    /** Returns the code with this name; one that is not known promises nothing. */
    public static ErrorCode named(String name) {
        for (ErrorCode code : values()) {
            if (code.name().equals(name)) {
                return code;
            }
        }
        return FAILED;
    }
}
