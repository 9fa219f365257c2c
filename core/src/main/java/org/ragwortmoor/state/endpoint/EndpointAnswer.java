package org.ragwortmoor.state.endpoint;

import java.util.List;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;

/** The answer of an endpoint to one call. */
public sealed interface EndpointAnswer {
    /**
     * Answer to {@code Hello}, {@code Ping}, {@code Status}, {@code Fence}, {@code Promote} and
     * {@code Follow}.
     */
    record StatusReport(EndpointStatus status) implements EndpointAnswer {}

    /**
     * Answer to {@code Read}, {@code Write}, {@code InTransaction} and {@code Commit}.
     *
     * @param records what the reads returned, in the order of the operations
     * @param position for reads the log end that they saw, for writes the position of their entry
     * @param duplicate whether the write had been executed before; the position is the first one's
     * @param queuedMicros time that the statement waited for a slot, in microseconds
     * @param queued statements that waited for a slot when this one ended
     */
    record Result(
            List<ReadRecord> records,
            Position position,
            boolean duplicate,
            long queuedMicros,
            int queued)
            implements EndpointAnswer {}

    /** Answer to {@code Begin}. */
    record Began(long transaction) implements EndpointAnswer {}

    /** Answer to {@code Reset}: the connection is clean. */
    record ResetDone() implements EndpointAnswer {}

    /**
     * Answer to {@code Resolve}.
     *
     * @param executed true if the write is in the log, false if it was cancelled
     * @param position position of the write's entry or of the cancellation mark
     */
    record Resolved(boolean executed, Position position) implements EndpointAnswer {}

    /**
     * The call was refused and had no effect.
     *
     * @param kind reason
     * @param message reason and remedy in words
     * @param term promised term of the endpoint
     * @param cancelledAttempt with {@code CANCELLED}, the highest cancelled attempt, otherwise 0
     */
    record Refused(RefusalKind kind, String message, long term, int cancelledAttempt)
            implements EndpointAnswer {}
}
