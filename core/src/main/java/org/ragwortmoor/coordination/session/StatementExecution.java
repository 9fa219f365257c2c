package org.ragwortmoor.coordination.session;

/** The execution of a statement outside of a caller's transaction. */
interface StatementExecution {
    /** Starts the execution; the session receives the answer. */
    void start();

    /** Returns whether nothing is being executed and only the leader can serve the statement. */
    boolean awaitsLeader();

    /** Stops the execution after the caller has disconnected; nothing more is sent. */
    void abandon();
}
