package org.ragwortmoor.coordination.engine;

/** What a {@link GroupEngine} counts. */
public enum Counter {
    /** Requests that arrived. */
    REQUESTS,
    /** Requests answered with a result. */
    DONE,
    /** Requests answered with "not run". */
    NOT_RUN,
    /** Requests answered with "unknown". */
    UNKNOWN,
    /** Requests refused before they were sent, because of load. */
    REFUSED_EARLY,
    /** Reads answered by a replica. */
    REPLICA_READS,
    /** Reads answered by the primary. */
    PRIMARY_READS,
    /** Reads that waited for replication. */
    REPLICATION_WAITS,
    /** Reads whose answer was not usable and that were sent again. */
    READ_RETRIES,
    /** Writes confirmed by a majority. */
    WRITES_CONFIRMED,
    /** Queries for the outcome of an unanswered write. */
    RESOLVES,
    /** Writes executed again after a confirmed cancellation. */
    WRITE_RETRIES,
    /** Retries refused for lack of budget. */
    RETRY_BUDGET_EMPTY,
    /** Answers that matched no waiting exchange. */
    STRAY_ANSWERS,
    /** Connections opened. */
    CONNECTIONS_OPENED,
    /** Connections that failed, were lost or could not be opened. */
    CONNECTIONS_FAILED,
    /** Connections closed because they were silent. */
    CONNECTIONS_SILENT,
    /** Connections reset before they were lent again. */
    RESETS,
    /** Running statements that were reclassified as long. */
    RECLASSIFIED,
    /** Requests that the rules admitted and did not allow any more before their answer. */
    REVOKED,
    /** Transactions rolled back by the proxy. */
    TRANSACTIONS_ABORTED
}
