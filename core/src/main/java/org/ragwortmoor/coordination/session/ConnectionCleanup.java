package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;

/** Rolls back open transactions before server connections return to the pool. */
final class ConnectionCleanup {
    /** Timeout of a rollback, which needs no slot; the connection is closed when it expires. */
    private static final long ROLLBACK_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private ConnectionCleanup() {}

    /** Rolls back and releases the connection; closes it if the rollback fails. */
    static void rollbackAndRelease(ServerConnection connection, SessionHost host) {
        rollbackAndReleaseAfter(connection, host.now());
    }

    /**
     * Sends a rollback behind the statements in progress, and releases the connection after it.
     * This saves a round trip to a server in another failure domain.
     *
     * @param deadline deadline of the last statement in progress
     */
    static void rollbackAndReleaseAfter(ServerConnection connection, long deadline) {
        rollbackAndReleaseAfter(connection, deadline, () -> {});
    }

    /**
     * Does the same.
     *
     * @param onIdle called if the connection is outside of a transaction, before its release
     */
    static void rollbackAndReleaseAfter(
            ServerConnection connection, long deadline, Runnable onIdle) {
        connection.executeOwn(
                "ROLLBACK",
                deadline + ROLLBACK_TIMEOUT_NANOS,
                result -> releaseIfIdle(connection, result, onIdle));
    }

    /** Releases a connection outside a transaction; a rollback of nothing may be an error. */
    private static void releaseIfIdle(
            ServerConnection connection, ExchangeResult result, Runnable onIdle) {
        boolean idle =
                result instanceof ExchangeResult.Completed completed
                        ? completed.state().equals(ExchangeResult.IDLE)
                        : result instanceof ExchangeResult.Failed failed
                                && failed.state().equals(ExchangeResult.IDLE);
        if (idle) {
            onIdle.run();
            connection.server().release(connection);
        } else if (!(result instanceof ExchangeResult.Lost)) {
            connection.close("rollback failed");
        }
    }

    /** Releases a connection, after a rollback if its transaction state is not idle. */
    static void rollbackIfNeededAndRelease(
            ServerConnection connection, String state, SessionHost host) {
        if (state.equals(ExchangeResult.IDLE)) {
            connection.server().release(connection);
        } else {
            rollbackAndRelease(connection, host);
        }
    }
}
