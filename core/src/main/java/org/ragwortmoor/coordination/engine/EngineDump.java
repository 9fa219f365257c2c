package org.ragwortmoor.coordination.engine;

import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.Position;

/**
 * Snapshot of a {@link GroupEngine} for state dumps, metrics and reports.
 *
 * @param group name of the group
 * @param proxy name of the proxy
 * @param term newest known term of the group
 * @param primary primary of that term; empty if unknown
 * @param confirmed newest position known to be held by a majority
 * @param requests unanswered requests
 * @param queuedShort queued short requests
 * @param queuedLong queued long requests
 * @param transactions open transactions
 * @param retryTokens available tokens of the retry budget
 * @param stopping whether the engine refuses new requests
 * @param counters event counts since the start
 * @param endpoints state per endpoint
 */
public record EngineDump(
        String group,
        String proxy,
        long term,
        String primary,
        Position confirmed,
        int requests,
        int queuedShort,
        int queuedLong,
        int transactions,
        double retryTokens,
        boolean stopping,
        Map<Counter, Long> counters,
        List<Endpoint> endpoints) {
    /** Copies the collections. */
    public EngineDump {
        counters = Map.copyOf(counters);
        endpoints = List.copyOf(endpoints);
    }

    /**
     * State of one endpoint as this proxy sees it.
     *
     * @param endpoint identifier of the endpoint
     * @param promisedTerm promised term last seen
     * @param last end of its log last seen
     * @param leaving whether it is being drained and gets no new work
     * @param silentMillis time since its last answer, or since it was added if it never answered
     * @param ageMillis upper bound of the staleness of its data, -1 if unknown
     * @param connections open connections
     * @param opening connections being opened
     * @param idle idle connections
     * @param floor connections allowed without a lease
     * @param share connections allowed now, with the lease
     * @param longPermits concurrent long statements allowed by the lease
     * @param wanted connections needed by running and queued short requests
     * @param limit concurrency limit of short statements
     * @param running short statements in flight
     * @param longRunning long statements in flight
     * @param longWanted queued long requests for this endpoint
     */
    public record Endpoint(
            String endpoint,
            long promisedTerm,
            Position last,
            boolean leaving,
            long silentMillis,
            long ageMillis,
            int connections,
            int opening,
            int idle,
            int floor,
            int share,
            int longPermits,
            int wanted,
            double limit,
            int running,
            int longRunning,
            int longWanted) {}
}
