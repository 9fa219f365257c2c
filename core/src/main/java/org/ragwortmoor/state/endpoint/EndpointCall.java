package org.ragwortmoor.state.endpoint;

import java.util.List;
import org.ragwortmoor.state.Position;

/**
 * A call to one endpoint. Calls carry a term, so that a fenced endpoint can refuse those of an
 * older term.
 */
public sealed interface EndpointCall {
    /**
     * Opens a connection; must be the first call on it.
     *
     * @param client identifier of the proxy or control process
     * @param administrative whether the connection is used for fencing and promotion only; such
     *     connections do not count towards the connection limit
     */
    record Hello(String client, boolean administrative) implements EndpointCall {}

    /** Checks whether the endpoint is alive; answered even while a statement is running. */
    record Ping() implements EndpointCall {}

    /**
     * Runs reads outside a transaction, on any endpoint.
     *
     * @param operations reads only
     * @param serviceMicros execution time of the statement in microseconds, which the stand-in
     *     simulates
     */
    record Read(List<Operation> operations, long serviceMicros) implements EndpointCall {}

    /**
     * Runs operations as one transaction on the primary.
     *
     * @param term term of which the endpoint must be the primary
     * @param operations reads and writes
     * @param identity identity under which the outcome is recorded
     * @param serviceMicros execution time of the statement in microseconds
     */
    record Write(long term, List<Operation> operations, WriteIdentity identity, long serviceMicros)
            implements EndpointCall {}

    /** Begins a transaction on this connection, on the primary of {@code term}. */
    record Begin(long term) implements EndpointCall {}

    /** Runs operations within the connection's transaction {@code transaction}. */
    record InTransaction(long transaction, List<Operation> operations, long serviceMicros)
            implements EndpointCall {}

    /** Commits the connection's transaction. */
    record Commit(long transaction, WriteIdentity identity) implements EndpointCall {}

    /** Rolls back the connection's transaction, if any, and clears all state of the connection. */
    record Reset() implements EndpointCall {}

    /**
     * Asks for the status; answered even while a statement is running.
     *
     * @param awaited the endpoint answers as soon as its log contains this position or its promised
     *     term is higher; {@link Position#ZERO} for an immediate answer
     * @param waitMicros maximum time to wait, in microseconds
     */
    record Status(Position awaited, long waitMicros) implements EndpointCall {}

    /**
     * Asks the primary of {@code term} for the recorded outcome of a write; a write without an
     * outcome is cancelled.
     */
    record Resolve(long term, WriteIdentity identity) implements EndpointCall {}

    /** Makes the endpoint promise {@code term}, after which it refuses calls of lower terms. */
    record Fence(long term) implements EndpointCall {}

    /** Makes the endpoint the primary of {@code term}; it appends a term-start entry. */
    record Promote(long term) implements EndpointCall {}

    /** Makes the endpoint a replica of the primary of {@code term} at {@code primaryAddress}. */
    record Follow(long term, String primaryAddress) implements EndpointCall {}

    /** Returns whether the call is answered even while a statement is running. */
    default boolean outOfBand() {
        return this instanceof Ping || this instanceof Status;
    }
}
