package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;

/** Rolls back open transactions before server connections return to the pool. */
final class ConnectionCleanup {
    /** Timeout of a rollback, which needs no slot; the connection is closed when it expires. */
    private static final long ROLLBACK_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private ConnectionCleanup() {}

    /** Rolls back and releases the connection; closes it if the rollback fails. */
    static void rollbackAndRelease(ServerConnection connection, SessionHost host) {
        connection.execute(
                ServerConnection.PROXY_STATEMENT_ID,
                "ROLLBACK",
                host.now() + ROLLBACK_TIMEOUT_NANOS,
                result -> {
                    if (result instanceof ExchangeResult.Completed completed
                            && completed.state().equals(ExchangeResult.IDLE)) {
                        connection.server().release(connection);
                    } else if (!(result instanceof ExchangeResult.Lost)) {
                        connection.close("rollback failed");
                    }
                });
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
