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
     * @param records results of the reads, in the order of the operations
     * @param position for reads, the last log position that they saw; for writes, the position of
     *     their entry
     * @param duplicate whether the write had already been executed; the position is then that of
     *     the first execution
     * @param queuedMicros time for which the statement waited for a slot, in microseconds
     * @param queued number of statements that were waiting for a slot when this one ended
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

    /** Answer to {@code Reset}: the connection has no transaction and no other state. */
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
     * @param message human-readable reason and remedy
     * @param term promised term of the endpoint
     * @param cancelledAttempt the highest cancelled attempt if the kind is {@code CANCELLED},
     *     otherwise 0
     */
    record Refused(RefusalKind kind, String message, long term, int cancelledAttempt)
            implements EndpointAnswer {}
}
