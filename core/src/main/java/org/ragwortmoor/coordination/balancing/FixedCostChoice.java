package org.ragwortmoor.coordination.balancing;

/**
 * Selects the server for a read by the lowest expected cost in milliseconds.
 *
 * <p>The average latency includes the queueing behind the work of other proxies; the statements of
 * this proxy in progress are added to it. A server in another failure domain adds traffic between
 * domains, and reads on the primary take capacity from writes. Both are therefore selected only
 * when the other servers are more heavily loaded.
 */
public final class FixedCostChoice implements ReadServerChoice {
    /**
     * Additional cost of a server in another failure domain. At this value, a local server is
     * avoided once a read would queue behind several others.
     */
    private static final double REMOTE_DOMAIN_COST_MILLIS = 45;

    /** Additional cost of the primary. */
    private static final double PRIMARY_COST_MILLIS = 6;

    /**
     * Additional cost of a server that fails every statement; a health check may still succeed. A
     * read that fails has to be sent again.
     */
    private static final double FAILURE_COST_MILLIS = 400;

    /** Additional cost of a connection that must be opened first. */
    private static final double OPENING_COST_MILLIS = 15;

    @Override
    public int select(Candidates<?> candidates, long now) {
        int best = -1;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            double cost = cost(candidates, i, now);
            if (cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        return best;
    }

    private static double cost(Candidates<?> candidates, int index, long now) {
        ServerLoad server = candidates.server(index);
        double slots = Math.max(1, server.slots());
        double cost = server.figures().averageMillis() * (1 + server.inUse() / slots);
        cost += candidates.local(index) ? 0 : REMOTE_DOMAIN_COST_MILLIS;
        cost += server.figures().failureRate(now) * FAILURE_COST_MILLIS;
        cost += candidates.primary(index) ? PRIMARY_COST_MILLIS : 0;
        return cost + (candidates.idle(index) ? 0 : OPENING_COST_MILLIS);
    }
}
