package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.EndpointDirectory.Seen;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;
import org.ragwortmoor.coordination.control.ShareRule.Need;
import org.ragwortmoor.state.EndpointInfo;

/**
 * Shares of one endpoint.
 *
 * <p>Invariant: floors and unexpired leases together are at most the connection limit, also while
 * proxies are silent and after updates were lost. A share is raised only by what no proxy can be
 * using; a lowered share stays reserved until it is acknowledged or its lease has ended.
 */
final class EndpointShares {
    private final EndpointKey key;
    private final ShareRule rule;
    private final Map<String, ShareHolder> holders = new TreeMap<>();

    EndpointShares(EndpointKey key, ShareRule rule) {
        this.key = key;
        this.rule = rule;
    }

    /** What is known of the endpoint and the proxies when a share is granted. */
    record Basis(
            EndpointInfo info,
            Option<Seen> seen,
            MemberFloors members,
            long leaderTerm,
            boolean holding) {
        int floor(String proxy) {
            return members.floor(proxy, info.connectionLimit());
        }
    }

    /** Returns the share of a proxy if its answer must state it: it changed after the base. */
    Option<Share> grant(
            ProxyReport report, EndpointObservation observation, Basis basis, long now) {
        ShareHolder holder = holders.computeIfAbsent(report.proxy(), proxy -> new ShareHolder());
        holder.report(report, observation, basis.leaderTerm(), now);
        Share share = share(report, holder, basis, now);
        holder.state(share, report.sequence());
        boolean stated = report.complete() || holder.changedAfter(report.acknowledged().sequence());
        return stated ? Option.some(share) : Option.none();
    }

    private Share share(ProxyReport report, ShareHolder holder, Basis basis, long now) {
        MemberProxy member = basis.members().member(report.proxy());
        if (member == null) {
            return new Share(key.group(), key.endpoint(), 0, 0, 0);
        }
        settle(basis, now);
        int floor = member.floorGranted() ? basis.floor(report.proxy()) : 0;
        int connections = connections(report.proxy(), holder, floor, basis, now);
        int longPermits = longPermits(report.proxy(), holder, basis, now);
        holder.grant(
                report.sequence(),
                floor,
                connections,
                longPermits,
                now + ShareAllocator.LEASE_NANOS);
        return new Share(key.group(), key.endpoint(), floor, connections, longPermits);
    }

    private void settle(Basis basis, long now) {
        holders.values().forEach(h -> h.expire(now));
        releaseAbandoned(basis, now);
        holders.entrySet()
                .removeIf(
                        e -> e.getValue().idle(now) && basis.members().member(e.getKey()) == null);
    }

    /** An ended lease is free when an announcement since then counts no connection beyond it. */
    private void releaseAbandoned(Basis basis, long now) {
        for (ShareHolder holder : holders.values()) {
            if (holder.abandoned() > 0
                    && now >= holder.abandonedAt()
                    && basis.seen().exists(s -> s.receivedAt() > holder.abandonedAt())
                    && unexplained(basis, now) == 0) {
                holder.release();
            }
        }
    }

    /** Returns connections that the endpoint counts and no reporting proxy or floor explains. */
    private int unexplained(Basis basis, long now) {
        int explained = 0;
        for (ShareHolder holder : holders.values()) {
            explained += holder.live(now) ? holder.smallestHeld() : 0;
        }
        return Math.max(0, basis.seen().get().status().connections() - explained);
    }

    /** Returns connections that may be in use, or are reserved, by all proxies together. */
    int committed(Basis basis, long now) {
        int sum = basis.members().sum(basis.info().connectionLimit());
        int abandoned = 0;
        int unheard = basis.members().size();
        long endedAt = Long.MIN_VALUE;
        for (Map.Entry<String, ShareHolder> entry : holders.entrySet()) {
            ShareHolder holder = entry.getValue();
            int floor = basis.floor(entry.getKey());
            sum += holder.committed(floor, now) - floor;
            unheard -= basis.members().member(entry.getKey()) != null ? 1 : 0;
            abandoned += holder.abandoned();
            if (holder.abandoned() > 0) {
                endedAt = Math.max(endedAt, holder.abandonedAt());
            }
        }
        long ended = endedAt;
        if (abandoned > 0 && basis.seen().exists(s -> s.receivedAt() > ended)) {
            abandoned = Math.min(abandoned, unexplained(basis, now));
        }
        if (unheard > 0 && basis.seen().isDefined()) {
            // Members that this leader never heard of may hold ended leases of an earlier one.
            abandoned = Math.max(abandoned, unexplained(basis, now));
        }
        return sum + abandoned;
    }

    private int connections(String proxy, ShareHolder holder, int floor, Basis basis, long now) {
        int limit = basis.info().connectionLimit();
        int current = holder.committed(basis.floor(proxy), now);
        int committed = committed(basis, now);
        int most = current + Math.max(0, limit - committed);
        if (basis.holding()) {
            most = Math.min(most, holder.held());
        }
        SortedMap<String, Need> needs = new TreeMap<>();
        int reserved = committed;
        for (Map.Entry<String, ShareHolder> entry : holders.entrySet()) {
            String name = entry.getKey();
            if (entry.getValue().live(now) && basis.members().member(name) != null) {
                needs.put(name, new Need(basis.floor(name), entry.getValue().demand()));
                reserved -= entry.getValue().committed(basis.floor(name), now);
            }
        }
        long turn = now / ShareAllocator.LEASE_NANOS;
        int target = rule.divide(Math.max(0, limit - reserved), needs, turn).getOrDefault(proxy, 0);
        return Math.max(floor, Math.min(target, most));
    }

    /** A reported long statement may have become long while it ran, so it proves no permit. */
    private int longPermits(String proxy, ShareHolder holder, Basis basis, long now) {
        if (basis.holding()) {
            return 0;
        }
        int limit = Math.max(1, basis.info().slots() - 1);
        int committed = 0;
        SortedMap<String, Need> needs = new TreeMap<>();
        for (Map.Entry<String, ShareHolder> entry : holders.entrySet()) {
            committed += entry.getValue().committedLong(now);
            if (entry.getValue().live(now) && entry.getValue().longDemand() > 0) {
                needs.put(entry.getKey(), new Need(0, entry.getValue().longDemand()));
            }
        }
        int most = holder.grantedLong() + Math.max(0, limit - committed);
        int target =
                needs.isEmpty()
                        ? idlePermits(proxy, basis, limit, now)
                        : rule.divide(limit, needs, now / ShareAllocator.PERMIT_TURN_NANOS)
                                .getOrDefault(proxy, 0);
        return Math.min(target, most);
    }

    /** Without demand the permits are spread over the live proxies, so that the next can start. */
    private int idlePermits(String proxy, Basis basis, int limit, long now) {
        SortedMap<String, Need> needs = new TreeMap<>();
        holders.forEach(
                (name, holder) -> {
                    if (holder.live(now) && basis.members().member(name) != null) {
                        needs.put(name, new Need(0, 1));
                    }
                });
        return rule.divide(limit, needs, now / ShareAllocator.LEASE_NANOS).getOrDefault(proxy, 0);
    }

    /** Returns whether the floor of a new member fits beside all floors and unexpired leases. */
    boolean fits(Basis basis, long now) {
        settle(basis, now);
        return committed(basis, now) <= basis.info().connectionLimit();
    }
}
