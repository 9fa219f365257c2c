package org.ragwortmoor.coordination.session;

import java.util.Collection;
import java.util.SplittableRandom;
import org.ragwortmoor.coordination.balancing.Candidates;
import org.ragwortmoor.coordination.balancing.FixedCostChoice;
import org.ragwortmoor.coordination.balancing.MeasuredCostChoice;
import org.ragwortmoor.coordination.balancing.ReadServerChoice;
import org.ragwortmoor.coordination.placement.ConnectionPlan;

/** Finds the servers that may serve a read, and has one of them selected. */
final class ReadServerSelector {
    private final SessionHost host;
    private final String zone;
    private final ReadServerChoice fixedCosts = new FixedCostChoice();
    private final ReadServerChoice measuredCosts;
    private final Candidates<Server> candidates = new Candidates<>();
    private ReadServerChoice choice = fixedCosts;

    /**
     * Creates a selector.
     *
     * @param group name of the group; the draws of proxies and groups differ
     */
    ReadServerSelector(SessionHost host, ProxyIdentity self, String group) {
        this.host = host;
        this.zone = self.failureDomain();
        this.measuredCosts =
                new MeasuredCostChoice(
                        new SplittableRandom((self.name() + '\n' + group).hashCode()));
    }

    /** Sets the plan; only fleets in which some proxies hold connections use measured costs. */
    void setPlan(ConnectionPlan plan) {
        choice = plan.direct() ? fixedCosts : measuredCosts;
    }

    /** Returns the cheapest server with an idle or openable connection, or null. */
    Server select(
            Collection<Server> servers,
            ConnectionRequest request,
            Server primary,
            ConnectionShare share) {
        candidates.clear();
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
            if (eligible
                    && (hasIdle || (canOpen && !server.lastOpenFailed() && !server.slowToOpen()))) {
                boolean local = server.record().failureDomain().equals(zone);
                candidates.add(server, local, server == primary, hasIdle);
            }
        }
        return candidates.size() == 0
                ? null
                : candidates.server(choice.select(candidates, host.now()));
    }
}
