package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.EndpointDirectory.ReceivedAnnouncement;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;
import org.ragwortmoor.coordination.control.SharePolicy.Demand;
import org.ragwortmoor.state.EndpointInfo;

/**
 * Allocates the connections and long permits of one endpoint to the proxies.
 *
 * <p>Invariant: the sum of floors and unexpired leases never exceeds the connection limit, even
 * while proxies are silent or after updates were lost. A share is raised only by connections that
 * no proxy can be using. A lowered share stays reserved at its old size until the proxy
 * acknowledges the new size or the old lease ends.
 */
final class EndpointShares {
    private final EndpointKey key;
    private final SharePolicy policy;
    private final Map<String, ProxyShareState> proxies = new TreeMap<>();

    EndpointShares(EndpointKey key, SharePolicy policy) {
        this.key = key;
        this.policy = policy;
    }

    /**
     * Inputs of an allocation.
     *
     * @param info the endpoint
     * @param announcement latest announcement of the endpoint
     * @param members member proxies and their floors
     * @param leaderTerm consensus term of the leader
     * @param gracePeriod whether leases of an earlier leader may still be valid
     */
    record AllocationContext(
            EndpointInfo info,
            Option<ReceivedAnnouncement> announcement,
            MemberIndex members,
            long leaderTerm,
            boolean gracePeriod) {
        int floor(String proxy) {
            return members.floor(proxy, info.connectionLimit());
        }
    }

    /**
     * Grants a share and returns it if the answer must contain it, that is, if the report is
     * complete or the share changed after the base.
     */
    Option<Share> grant(
            ProxyReport report,
            EndpointObservation observation,
            AllocationContext context,
            long now) {
        ProxyShareState state =
                proxies.computeIfAbsent(report.proxy(), proxy -> new ProxyShareState());
        state.report(report, observation, context.leaderTerm(), now);
        Share share = share(report, state, context, now);
        state.recordSent(share, report.sequence());
        boolean include = report.complete() || state.changedAfter(report.acknowledged().sequence());
        return include ? Option.some(share) : Option.none();
    }

    private Share share(
            ProxyReport report, ProxyShareState state, AllocationContext context, long now) {
        MemberProxy member = context.members().member(report.proxy());
        if (member == null) {
            return new Share(key.group(), key.endpoint(), 0, 0, 0);
        }
        removeExpired(context, now);
        int floor = member.floorGranted() ? context.floor(report.proxy()) : 0;
        int connections = connections(report.proxy(), state, floor, context, now);
        int longPermits = longPermits(report.proxy(), state, context, now);
        state.grant(
                report.sequence(),
                floor,
                connections,
                longPermits,
                now + ShareAllocator.LEASE_NANOS);
        return new Share(key.group(), key.endpoint(), floor, connections, longPermits);
    }

    private void removeExpired(AllocationContext context, long now) {
        proxies.values().forEach(p -> p.expire(now));
        releaseOrphaned(context, now);
        proxies.entrySet()
                .removeIf(
                        e ->
                                e.getValue().idle(now)
                                        && context.members().member(e.getKey()) == null);
    }

    /**
     * Releases orphaned leases once an announcement after their end counts no connection that
     * cannot be attributed to a reporting proxy.
     */
    private void releaseOrphaned(AllocationContext context, long now) {
        for (ProxyShareState state : proxies.values()) {
            if (state.orphaned() > 0
                    && now >= state.orphanedUntil()
                    && context.announcement().exists(a -> a.receivedAt() > state.orphanedUntil())
                    && unattributed(context, now) == 0) {
                state.releaseOrphaned();
            }
        }
    }

    /**
     * Returns the number of connections that the endpoint counts and that no reporting proxy holds.
     */
    private int unattributed(AllocationContext context, long now) {
        int attributed = 0;
        for (ProxyShareState state : proxies.values()) {
            attributed += state.reporting(now) ? state.minConnections() : 0;
        }
        return Math.max(0, context.announcement().get().status().connections() - attributed);
    }

    /** Returns the number of connections that are reserved for or may be in use by all proxies. */
    int committed(AllocationContext context, long now) {
        int sum = context.members().floorSum(context.info().connectionLimit());
        int orphaned = 0;
        int unreported = context.members().size();
        long lastEnd = Long.MIN_VALUE;
        for (Map.Entry<String, ProxyShareState> entry : proxies.entrySet()) {
            ProxyShareState state = entry.getValue();
            int floor = context.floor(entry.getKey());
            sum += state.committed(floor, now) - floor;
            unreported -= context.members().member(entry.getKey()) != null ? 1 : 0;
            orphaned += state.orphaned();
            if (state.orphaned() > 0) {
                lastEnd = Math.max(lastEnd, state.orphanedUntil());
            }
        }
        long end = lastEnd;
        if (orphaned > 0 && context.announcement().exists(a -> a.receivedAt() > end)) {
            orphaned = Math.min(orphaned, unattributed(context, now));
        }
        if (unreported > 0 && context.announcement().isDefined()) {
            // Members that never reported to this leader may still use connections of leases of an
            // earlier leader.
            orphaned = Math.max(orphaned, unattributed(context, now));
        }
        return sum + orphaned;
    }

    private int connections(
            String proxy, ProxyShareState state, int floor, AllocationContext context, long now) {
        int limit = context.info().connectionLimit();
        int current = state.committed(context.floor(proxy), now);
        int committed = committed(context, now);
        int max = current + Math.max(0, limit - committed);
        if (context.gracePeriod()) {
            max = Math.min(max, state.connections());
        }
        SortedMap<String, Demand> demands = new TreeMap<>();
        int reserved = committed;
        for (Map.Entry<String, ProxyShareState> entry : proxies.entrySet()) {
            String name = entry.getKey();
            if (entry.getValue().reporting(now) && context.members().member(name) != null) {
                demands.put(name, new Demand(context.floor(name), entry.getValue().demand()));
                reserved -= entry.getValue().committed(context.floor(name), now);
            }
        }
        long round = now / ShareAllocator.LEASE_NANOS;
        int target =
                policy.allocate(Math.max(0, limit - reserved), demands, round)
                        .getOrDefault(proxy, 0);
        return Math.max(floor, Math.min(target, max));
    }

    /**
     * Returns the long permits of a proxy.
     *
     * <p>During the grace period none are granted: a reported long statement may have become long
     * while it ran, so it does not prove that an earlier leader granted a permit.
     */
    private int longPermits(
            String proxy, ProxyShareState state, AllocationContext context, long now) {
        if (context.gracePeriod()) {
            return 0;
        }
        int limit = Math.max(1, context.info().slots() - 1);
        int committed = 0;
        SortedMap<String, Demand> demands = new TreeMap<>();
        for (Map.Entry<String, ProxyShareState> entry : proxies.entrySet()) {
            committed += entry.getValue().committedLong(now);
            if (entry.getValue().reporting(now) && entry.getValue().longDemand() > 0) {
                demands.put(entry.getKey(), new Demand(0, entry.getValue().longDemand()));
            }
        }
        int max = state.grantedLong() + Math.max(0, limit - committed);
        int target =
                demands.isEmpty()
                        ? permitsWithoutDemand(proxy, context, limit, now)
                        : policy.allocate(limit, demands, now / ShareAllocator.PERMIT_ROUND_NANOS)
                                .getOrDefault(proxy, 0);
        return Math.min(target, max);
    }

    /**
     * Distributes the permits evenly over the reporting proxies while there is no demand, so that
     * the next long statement can start immediately.
     */
    private int permitsWithoutDemand(String proxy, AllocationContext context, int limit, long now) {
        SortedMap<String, Demand> demands = new TreeMap<>();
        proxies.forEach(
                (name, state) -> {
                    if (state.reporting(now) && context.members().member(name) != null) {
                        demands.put(name, new Demand(0, 1));
                    }
                });
        return policy.allocate(limit, demands, now / ShareAllocator.LEASE_NANOS)
                .getOrDefault(proxy, 0);
    }

    /** Returns whether all floors and unexpired leases together fit into the connection limit. */
    boolean fits(AllocationContext context, long now) {
        removeExpired(context, now);
        return committed(context, now) <= context.info().connectionLimit();
    }
}
