package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.endpoint.EndpointCall;

/** An output of {@link GroupEngine}, carried out by its host in the given order. */
public sealed interface EngineAction {
    /**
     * Opens a connection to an endpoint and sends {@code Hello}.
     *
     * @param connection identifier of the new connection, never used before
     */
    record OpenConnection(String endpoint, String address, long connection)
            implements EngineAction {}

    /** Closes a connection; no event follows. */
    record CloseConnection(long connection) implements EngineAction {}

    /**
     * Sends a call.
     *
     * @param exchange identifier that the answer carries, unique on the connection
     */
    record Send(long connection, long exchange, EndpointCall call) implements EngineAction {}

    /** Answers a caller. */
    record Reply(CallerAnswer answer) implements EngineAction {}
}
