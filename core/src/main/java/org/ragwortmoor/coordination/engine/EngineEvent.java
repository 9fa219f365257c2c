package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.GroupView;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/** An input of {@link GroupEngine}. */
public sealed interface EngineEvent {
    /** A caller sent a request. */
    record RequestArrived(CallerRequest request) implements EngineEvent {}

    /** The caller of this request is gone; its open transaction is rolled back. */
    record CallerLost(String session) implements EngineEvent {}

    /**
     * The rules do not allow a request any more that they had admitted. What was not sent does not
     * run; a write that was sent is not repeated.
     *
     * @param request identifier of the request; ignored if it was answered
     * @param message reason and remedy for the caller
     */
    record RequestRevoked(long request, ErrorKind kind, String message) implements EngineEvent {}

    /** A connection that the engine asked for is open (its {@code Hello} was answered). */
    record ConnectionOpened(String endpoint, long connection) implements EngineEvent {}

    /** A connection that the engine asked for could not be opened. */
    record ConnectionFailed(String endpoint, long connection, String reason)
            implements EngineEvent {}

    /** An open connection was closed by the other side or failed. */
    record ConnectionLost(long connection, String reason) implements EngineEvent {}

    /** An answer arrived; it may be late, repeated or meant for another exchange. */
    record AnswerReceived(long connection, long exchange, EndpointAnswer answer)
            implements EngineEvent {}

    /** The control group described the group anew. */
    record GroupChanged(GroupView view) implements EngineEvent {}

    /**
     * The control leader leased a share of an endpoint.
     *
     * @param floor connections that the proxy may keep without a lease
     * @param connections connections that the proxy may use until {@code deadline}
     * @param longPermits long statements that it may run at a time until {@code deadline}
     * @param deadline end of the lease in nanoseconds of the engine's clock
     */
    record ShareLeased(String endpoint, int floor, int connections, int longPermits, long deadline)
            implements EngineEvent {}

    /** The proxy is stopping: refuse new requests and transactions, finish those in flight. */
    record StopRequested() implements EngineEvent {}

    /** Time has passed; sent at the latest at {@link GroupEngine#nextDeadline}. */
    record Tick() implements EngineEvent {}
}
