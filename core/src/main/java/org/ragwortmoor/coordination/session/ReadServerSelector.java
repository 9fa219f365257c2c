package org.ragwortmoor.coordination.session;

import java.util.Collection;

/**
 * Selects the server for a read by the lowest expected cost in milliseconds.
 *
 * <p>The average latency includes the queueing behind the work of other proxies; the statements of
 * this proxy in progress are added to it. A server in another failure domain adds traffic between
 * domains, and reads on the primary take capacity from writes. Both are therefore selected only
 * when the other servers are more heavily loaded.
 */
final class ReadServerSelector {
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

    private final String zone;

    ReadServerSelector(String zone) {
        this.zone = zone;
    }

    /** Returns the cheapest server with an idle or openable connection, or null. */
    Server select(
            Collection<Server> servers,
            ConnectionRequest request,
            Server primary,
            ConnectionShare share) {
        Server best = null;
        double bestCost = Double.MAX_VALUE;
        for (Server server : servers) {
            boolean eligible =
                    server.acceptsReads()
                            && !request.excluded().contains(server.record().id())
                            && !server.unresponsive();
            boolean hasIdle = server.idleCount(request.workspace()) > 0;
            // A server that did not accept the last connection may not accept the next one either.
            boolean canOpen =
                    server.opening(request.workspace()) > 0
                            || server.canOpen(share, request.workspace());
            if (!eligible
                    || !(hasIdle
                            || (canOpen && !server.lastOpenFailed() && !server.slowToOpen()))) {
                continue;
            }
            double cost = cost(server, server == primary) + (hasIdle ? 0 : OPENING_COST_MILLIS);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    private double cost(Server server, boolean primary) {
        double slots = Math.max(1, server.record().slots());
        double cost = server.averageLatencyMillis() * (1 + server.inUse() / slots);
        cost += server.record().failureDomain().equals(zone) ? 0 : REMOTE_DOMAIN_COST_MILLIS;
        cost += server.failureRate() * FAILURE_COST_MILLIS;
        return cost + (primary ? PRIMARY_COST_MILLIS : 0);
    }
}
