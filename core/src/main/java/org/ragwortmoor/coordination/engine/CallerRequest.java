package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * A caller's request to one group. Deadlines are in nanoseconds of the monotonic clock that drives
 * the engine.
 */
public sealed interface CallerRequest {
    /** Returns the identifier that the answer carries; unique within the proxy. */
    long id();

    /** Returns the session, which is the unit of fair queueing. */
    String session();

    /** Returns the time after which the caller no longer waits for the answer. */
    long deadline();

    /**
     * Reads records.
     *
     * @param position the session's position in the group; {@link Position#ZERO} if it has none
     * @param maxAgeNanos maximum staleness in nanoseconds at level {@code AGE}, otherwise 0
     * @param label work label; requests with the same label have similar service times
     * @param serviceMicros service time in microseconds, passed to the endpoint
     */
    record Read(
            long id,
            String session,
            List<Operation> operations,
            ReadLevel level,
            long maxAgeNanos,
            Position position,
            String label,
            long serviceMicros,
            long deadline)
            implements CallerRequest {}

    /**
     * Runs reads and writes as one transaction.
     *
     * @param identity idempotency key and attempt; attempt 1 unless the caller knows of a
     *     cancellation
     * @param repeatable whether the write may be executed more than once
     */
    record Write(
            long id,
            String session,
            List<Operation> operations,
            WriteIdentity identity,
            boolean repeatable,
            String label,
            long serviceMicros,
            long deadline)
            implements CallerRequest {}

    /**
     * Begins a transaction of several statements.
     *
     * @param transactionDeadline time at which the transaction is rolled back if it is still open
     */
    record Begin(long id, String session, long transactionDeadline, long deadline)
            implements CallerRequest {}

    /** Runs operations within an open transaction. */
    record InTransaction(
            long id,
            String session,
            String transaction,
            List<Operation> operations,
            long serviceMicros,
            long deadline)
            implements CallerRequest {}

    /** Commits an open transaction. */
    record Commit(
            long id, String session, String transaction, WriteIdentity identity, long deadline)
            implements CallerRequest {}

    /** Rolls back an open transaction. */
    record Rollback(long id, String session, String transaction, long deadline)
            implements CallerRequest {}

    /** Queries the outcome of an earlier write and cancels the write if it was not executed. */
    record Resolve(long id, String session, WriteIdentity identity, long deadline)
            implements CallerRequest {}
}
