package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.GroupView;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/** An input of {@link GroupEngine}. */
public sealed interface EngineEvent {
    /** A caller sent a request. */
    record RequestArrived(CallerRequest request) implements EngineEvent {}

    /** The caller of this session disconnected; its open transactions are rolled back. */
    record CallerLost(String session) implements EngineEvent {}

    /**
     * The rules no longer allow an admitted request. It is not executed if it has not been sent; a
     * write that was sent is not retried.
     *
     * @param request identifier of the request; ignored if it was answered
     * @param message reason and remedy for the caller
     */
    record RequestRevoked(long request, ErrorKind kind, String message) implements EngineEvent {}

    /** A requested connection is open: its {@code Hello} was answered. */
    record ConnectionOpened(String endpoint, long connection) implements EngineEvent {}

    /** A requested connection could not be opened. */
    record ConnectionFailed(String endpoint, long connection, String reason)
            implements EngineEvent {}

    /** An open connection was closed by the other side or failed. */
    record ConnectionLost(long connection, String reason) implements EngineEvent {}

    /** An answer arrived. It may be late, duplicated or for another exchange. */
    record AnswerReceived(long connection, long exchange, EndpointAnswer answer)
            implements EngineEvent {}

    /** The control group published a new view of the group. */
    record GroupChanged(GroupView view) implements EngineEvent {}

    /**
     * The control leader granted a lease on a share of an endpoint.
     *
     * @param floor connections that the proxy may keep without a lease
     * @param connections connections that the proxy may use until {@code deadline}
     * @param longPermits concurrent long statements allowed until {@code deadline}
     * @param deadline end of the lease in nanoseconds of the engine's clock
     */
    record ShareLeased(String endpoint, int floor, int connections, int longPermits, long deadline)
            implements EngineEvent {}

    /**
     * The proxy is stopping: the engine refuses new requests and transactions and finishes those in
     * flight.
     */
    record StopRequested() implements EngineEvent {}

    /** Time has passed; must be sent no later than {@link GroupEngine#nextDeadline}. */
    record Tick() implements EngineEvent {}
}
