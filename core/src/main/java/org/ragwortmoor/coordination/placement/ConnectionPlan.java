package org.ragwortmoor.coordination.placement;

/**
 * Divides the connections that each server of a group accepts among the proxies.
 *
 * <p>A small fleet connects directly: every proxy gets an equal share. In a fleet that is too large
 * for that, a few proxies per failure domain hold the connections and execute statements for the
 * others, so the number of connections does not grow with the number of proxies.
 *
 * @param direct whether every proxy holds connections
 * @param holdersPerDomain number of proxies per failure domain that hold connections, unless every
 *     proxy does
 * @param guaranteed connections per server that a holder may open at any time
 * @param retained connections per server that a holder keeps open while idle
 * @param maximum connections per server that a holder may open while the server accepts them
 */
public record ConnectionPlan(
        boolean direct, int holdersPerDomain, int guaranteed, int retained, int maximum) {
    /** Connections per server that are left to control processes and other clients. */
    private static final int RESERVED_CONNECTIONS = 3;

    /**
     * Share from which proxies connect directly: one connection for reads, one for a transaction.
     */
    private static final int MIN_DIRECT_SHARE = 2;

    /** Connections of a failure domain for each holder; fewer, larger pools are used better. */
    private static final int CONNECTIONS_PER_HOLDER = 7;

    /** Maximum as a multiple of a direct share; proxies rarely peak at the same time. */
    private static final int BURST_FACTOR = 2;

    /** The plan while the number of proxies is unknown. */
    private static final ConnectionPlan UNKNOWN = new ConnectionPlan(false, 1, 1, 0, 1);

    /**
     * Returns the plan for a group.
     *
     * @param maxConnections connections that each server accepts from all callers
     * @param proxies number of proxies; 0 if unknown
     * @param domains number of failure domains with proxies
     */
    public static ConnectionPlan of(int maxConnections, int proxies, int domains) {
        if (proxies <= 0) {
            return UNKNOWN;
        }
        int shareable = Math.max(1, maxConnections - RESERVED_CONNECTIONS);
        int share = shareable / proxies;
        if (share >= MIN_DIRECT_SHARE || proxies <= Math.max(1, domains)) {
            return direct(Math.max(1, share), shareable);
        }
        int perDomain = Math.max(1, shareable / Math.max(1, domains));
        int holders = Math.max(1, perDomain / CONNECTIONS_PER_HOLDER);
        // A new holder may open its share while the one that it replaces still closes its own.
        int guaranteed = Math.max(1, perDomain / (holders + 1));
        return new ConnectionPlan(
                false,
                holders,
                guaranteed,
                Math.max(1, guaranteed / 2),
                Math.max(guaranteed, perDomain / holders));
    }

    private static ConnectionPlan direct(int share, int shareable) {
        // A server keeps the connections of a failed process for seconds. As long as the proxies
        // retain no more than half of the connections, replacements of all proxies can connect
        // immediately.
        return new ConnectionPlan(
                true, 1, share, Math.max(1, share / 2), Math.min(shareable, share * BURST_FACTOR));
    }

    /**
     * Returns how many proxies observe the primary of the group.
     *
     * @param proxies number of proxies
     * @param domains number of failure domains with proxies
     */
    public int observers(int proxies, int domains) {
        return direct ? proxies : Math.min(proxies, holdersPerDomain * Math.max(1, domains));
    }
}
