package org.ragwortmoor.coordination.engine;

import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.Position;

/**
 * State of a {@link GroupEngine} at one moment, for state dumps, metrics and reports.
 *
 * @param group name of the group
 * @param proxy name of the proxy
 * @param term newest known term of the group
 * @param primary primary of that term; empty if unknown
 * @param confirmed newest position known to be held by a majority
 * @param requests requests that have not been answered or are still being cleaned up
 * @param queuedShort waiting short requests
 * @param queuedLong waiting long requests
 * @param transactions open transactions
 * @param retryTokens retries that the budget allows now
 * @param stopping whether the engine refuses new requests
 * @param counters counted events since the start
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
     * @param leaving whether it gets no new work
     * @param silentMillis time since its last answer or, without one, since the first try
     * @param ageMillis upper bound of the age of its data; -1 if unknown
     * @param connections open connections
     * @param opening connections being opened
     * @param idle connections that could be lent
     * @param floor connections allowed without a lease
     * @param share connections allowed now
     * @param longPermits long statements allowed now
     * @param wanted connections that could be used now
     * @param limit limit of short statements in flight
     * @param running short statements in flight
     * @param longRunning long statements in flight
     * @param longWanted long requests waiting for this endpoint
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
