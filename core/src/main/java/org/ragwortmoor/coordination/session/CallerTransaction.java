package org.ragwortmoor.coordination.session;

import org.ragwortmoor.state.routes.Route;

/** An open transaction of a session. */
interface CallerTransaction {
    /** Returns the route at the start of the transaction. */
    Route route();

    /** Returns whether the transaction has failed and can only be ended by the caller. */
    boolean failed();

    /**
     * Returns whether nothing was executed yet and only the leader can serve the next statement.
     */
    boolean awaitsLeader();

    /** Records that the caller changed a session value inside the transaction. */
    void markValuesChanged();

    /** Executes a read, write or commit and sends the answer to the session. */
    void execute(RoutedStatement statement);

    /** Rolls back at the request of the caller. */
    void rollback();

    /** Aborts the transaction because the caller disconnected or was idle, or the proxy stops. */
    void abandon();
}
