package org.ragwortmoor.coordination.engine;

/** Events counted by a {@link GroupEngine}. */
public enum Counter {
    /** Requests that arrived. */
    REQUESTS,
    /** Requests answered with a result. */
    DONE,
    /** Requests answered with "not run". */
    NOT_RUN,
    /** Requests answered with "unknown". */
    UNKNOWN,
    /** Requests refused because of load before they were sent. */
    REFUSED_EARLY,
    /** Reads answered by a replica. */
    REPLICA_READS,
    /** Reads answered by the primary. */
    PRIMARY_READS,
    /** Reads that waited for replication. */
    REPLICATION_WAITS,
    /** Reads retried because the answer did not meet the consistency requirement. */
    READ_RETRIES,
    /** Writes confirmed by a majority. */
    WRITES_CONFIRMED,
    /** Outcome queries for unanswered writes. */
    RESOLVES,
    /** Writes retried after a confirmed cancellation. */
    WRITE_RETRIES,
    /** Retries denied because the retry budget was empty. */
    RETRY_BUDGET_EMPTY,
    /** Answers that matched no pending exchange. */
    STRAY_ANSWERS,
    /** Connections opened. */
    CONNECTIONS_OPENED,
    /** Connections that failed, were lost or could not be opened. */
    CONNECTIONS_FAILED,
    /** Connections closed because they did not answer pings. */
    CONNECTIONS_SILENT,
    /** Connections reset before reuse. */
    RESETS,
    /** Running statements that were reclassified as long. */
    RECLASSIFIED,
    /** Admitted requests revoked by a rule change or the end of the rules lease. */
    REVOKED,
    /** Transactions rolled back by the proxy. */
    TRANSACTIONS_ABORTED
}
