package org.ragwortmoor.coordination.workspace;

/** Decides whether an operation of a workspace may start. */
public interface OperationGate {
    /** The gate of deployments without quotas, which permits every operation. */
    OperationGate OPEN =
            (operation, listener) -> {
                listener.permitted();
                return () -> {};
            };

    /**
     * An operation that is about to start.
     *
     * @param workspace name of the workspace; empty if the caller has none
     * @param statementId id of the first statement, by which retry delays are spread
     * @param waitDeadline time until which the operation may wait, in nanoseconds
     */
    record Operation(String workspace, String statementId, long waitDeadline) {}

    /** Receives the decision, once, unless the request is cancelled. */
    interface Listener {
        /** The operation may start. */
        void permitted();

        /**
         * The operation is refused and has not run.
         *
         * @param reason reason for the caller
         * @param retryAfterMillis delay after which the operation would be permitted
         */
        void refused(String reason, int retryAfterMillis);
    }

    /** A request for a decision. */
    interface Pending {
        /** Cancels the request because the caller has disconnected. */
        void cancel();
    }

    /** Requests a decision; the listener may be called before this method returns. */
    Pending request(Operation operation, Listener listener);
}
