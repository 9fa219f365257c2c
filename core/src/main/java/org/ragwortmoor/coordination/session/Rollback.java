package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;

/** Ends transactions on server connections before the connections are lent again. */
final class Rollback {
    /** Longest time of a rollback, which needs no slot; the connection is closed afterwards. */
    private static final long TIMEOUT = TimeUnit.SECONDS.toNanos(1);

    private Rollback() {}

    /** Rolls back and releases the connection; closes it if that fails. */
    static void thenRelease(ServerConnection connection, SessionHost host) {
        connection.ask(
                ServerConnection.OWN_ID,
                "ROLLBACK",
                host.now() + TIMEOUT,
                result -> {
                    if (result instanceof ExchangeResult.Completed completed
                            && completed.state().equals(ExchangeResult.IDLE)) {
                        connection.server().release(connection);
                    } else if (!(result instanceof ExchangeResult.Lost)) {
                        connection.close("rollback failed");
                    }
                });
    }

    /** Releases a connection in this transaction state, after a rollback if it needs one. */
    static void releaseAfter(ServerConnection connection, String state, SessionHost host) {
        if (state.equals(ExchangeResult.IDLE)) {
            connection.server().release(connection);
        } else {
            thenRelease(connection, host);
        }
    }
}
