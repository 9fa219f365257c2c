package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.ReadRecord;

/** The answer to a {@link CallerRequest}. Each request gets exactly one. */
public sealed interface CallerAnswer {
    /** Returns the identifier of the request. */
    long id();

    /**
     * The request was executed.
     *
     * @param records records returned by the reads
     * @param position position observed by the session, to be stored in its token
     * @param endpoint endpoint that executed the request
     * @param replica whether that endpoint was a replica
     * @param duplicate whether an earlier request with the same key executed the write
     * @param transaction identifier of the begun transaction, otherwise empty
     */
    record Done(
            long id,
            List<ReadRecord> records,
            Position position,
            String endpoint,
            boolean replica,
            boolean duplicate,
            String transaction)
            implements CallerAnswer {}

    /**
     * The request had no effect and will not have one later.
     *
     * @param kind reason
     * @param message reason and remedy, for people
     * @param retryAfterMillis suggested delay before a retry in milliseconds, 0 if a retry cannot
     *     succeed
     */
    record NotRun(long id, ErrorKind kind, String message, long retryAfterMillis)
            implements CallerAnswer {}

    /** The outcome is unknown; the caller can query it with {@link CallerRequest.Resolve}. */
    record Unknown(long id, ErrorKind kind, String message) implements CallerAnswer {}
}
