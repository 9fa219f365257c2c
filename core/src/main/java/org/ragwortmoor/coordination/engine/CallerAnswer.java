package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.ReadRecord;

/** The answer to one {@link CallerRequest}; exactly one is given to each. */
public sealed interface CallerAnswer {
    /** Returns the identifier of the request. */
    long id();

    /**
     * The request was executed.
     *
     * @param records what the reads returned
     * @param position position that the session has seen, to be put into its token
     * @param endpoint endpoint that executed the request
     * @param replica whether that endpoint was a replica
     * @param duplicate whether the write had been executed by an earlier request of the same key
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
     * The request had no effect and never will.
     *
     * @param kind reason
     * @param message reason and remedy in words
     * @param retryAfterMillis hint when to try again, in milliseconds; 0 if trying again is useless
     */
    record NotRun(long id, ErrorKind kind, String message, long retryAfterMillis)
            implements CallerAnswer {}

    /** It is not known whether the request was executed; ask with {@code Resolve}. */
    record Unknown(long id, ErrorKind kind, String message) implements CallerAnswer {}
}
