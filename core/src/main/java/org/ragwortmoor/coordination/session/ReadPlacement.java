package org.ragwortmoor.coordination.session;

import java.util.Collection;

/**
 * Chooses the server of a read by its expected cost in milliseconds.
 *
 * <p>The average latency contains the wait behind the work of other proxies; this proxy's own
 * statements are added. A server of another failure domain costs bytes between domains, the primary
 * the room for writes, so both are taken only when the others are busier.
 */
final class ReadPlacement {
    /**
     * Cost of another failure domain, in milliseconds; a local server is left when a read would
     * wait there for several others.
     */
    private static final double OTHER_ZONE_MILLIS = 45;

    /** Cost of the primary, in milliseconds. */
    private static final double PRIMARY_MILLIS = 6;

    /** Cost of a connection that must be opened first, in milliseconds. */
    private static final double OPENING_MILLIS = 15;

    private final String zone;

    ReadPlacement(String zone) {
        this.zone = zone;
    }

    /** Returns the cheapest server with a connection that is free or can be opened, or null. */
    Server choose(
            Collection<Server> servers,
            LeaseRequest request,
            Server primary,
            ConnectionShare share) {
        Server best = null;
        double bestCost = Double.MAX_VALUE;
        for (Server server : servers) {
            boolean fits =
                    server.takesReads()
                            && !request.excluded().contains(server.record().id())
                            && !server.silent();
            boolean free = server.idleCount() > 0;
            // A server that did not take the last connection may not take the next one either.
            boolean opens = server.opening() > 0 || server.mayOpen(share);
            if (!fits || !(free || (opens && !server.refusing() && !server.slowToOpen()))) {
                continue;
            }
            double cost = cost(server, server == primary) + (free ? 0 : OPENING_MILLIS);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    private double cost(Server server, boolean primary) {
        double slots = Math.max(1, server.record().slots());
        double cost = server.latencyMillis() * (1 + server.inUse() / slots);
        cost += server.record().failureDomain().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
        return cost + (primary ? PRIMARY_MILLIS : 0);
    }
}
