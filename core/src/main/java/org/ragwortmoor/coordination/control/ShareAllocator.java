package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * Leases connections and long permits of the endpoints to the member proxies.
 *
 * <p>Every member has a floor of one connection at each endpoint, which does not depend on a lease.
 * If there are more members than floors, the members with the lowest floor numbers get a floor, and
 * the other members take turns in leasing the remaining connections.
 */
final class ShareAllocator {
    /**
     * Duration of a share lease; afterwards the connections of a silent proxy can be reassigned.
     */
    static final long LEASE_NANOS = 3_000_000_000L;

    /**
     * Duration of a round in which a proxy keeps a long permit while fewer permits than requesting
     * proxies are available.
     */
    static final long PERMIT_ROUND_NANOS = 1_000_000_000L;

    /**
     * The connection limit divided by this number is never used for floors, so that members without
     * a floor can be served.
     */
    private static final int LEASED_PART_DIVISOR = 5;

    private final EndpointDirectory directory;
    private final SharePolicy policy;
    private final Map<EndpointKey, EndpointShares> endpoints = new HashMap<>();
    private long leaderTerm;
    private long gracePeriodEnd;
    private MemberIndex members;
    private long membersRevision;

    ShareAllocator(EndpointDirectory directory, SharePolicy policy) {
        this.directory = directory;
        this.policy = policy;
    }

    /** Returns the maximum number of floors at an endpoint with this connection limit. */
    static int floors(int connectionLimit) {
        return connectionLimit <= 1
                ? connectionLimit
                : connectionLimit - Math.max(1, connectionLimit / LEASED_PART_DIVISOR);
    }

    /**
     * Starts a grace period in which nothing beyond the reported connections is granted, until all
     * leases of an earlier leader have ended.
     */
    void becameLeader(long term, long now) {
        endpoints.clear();
        members = null;
        leaderTerm = term;
        gracePeriodEnd = now + LEASE_NANOS;
    }

    /** Ends the grace period immediately; to be called if no proxy was ever granted a share. */
    void skipGracePeriod() {
        gracePeriodEnd = Long.MIN_VALUE;
    }

    boolean inGracePeriod(long now) {
        return now < gracePeriodEnd;
    }

    /**
     * Returns the shares that the answer to a report must contain. An endpoint that is no longer in
     * the state is always included with an empty share, because the renewed lease covers all shares
     * that the answer omits.
     */
    List<Share> grant(ProxyReport report, ControlState state, long now) {
        List<Share> shares = new ArrayList<>();
        for (EndpointObservation observation : report.endpoints()) {
            EndpointKey key = observation.key();
            Option<Member> member = member(state, key);
            if (member.isEmpty()) {
                shares.add(new Share(key.group(), key.endpoint(), 0, 0, 0));
                continue;
            }
            EndpointShares.AllocationContext context = context(key, member.get(), state, now);
            shares(key).grant(report, observation, context, now).forEach(shares::add);
        }
        return shares;
    }

    /**
     * Allows members to use their floors once the floors and all granted shares fit into the
     * connection limits.
     */
    void grantFloors(ControlState state, Outbox out, long now) {
        if (inGracePeriod(now) || state.members().values().forAll(MemberProxy::floorGranted)) {
            return;
        }
        for (GroupState group : state.groups().values()) {
            for (Member member : group.endpoints().values()) {
                EndpointKey key = new EndpointKey(group.group(), member.info().endpoint());
                if (!shares(key).fits(context(key, member, state, now), now)) {
                    return;
                }
            }
        }
        state.members()
                .values()
                .filter(m -> !m.floorGranted())
                .forEach(m -> out.propose(new ControlCommand.GrantFloor(m.proxy()), now));
    }

    private static Option<Member> member(ControlState state, EndpointKey key) {
        return state.groups().get(key.group()).flatMap(g -> g.endpoints().get(key.endpoint()));
    }

    private MemberIndex memberIndex(ControlState state) {
        if (members == null || membersRevision != state.revision()) {
            members = new MemberIndex(state);
            membersRevision = state.revision();
        }
        return members;
    }

    private EndpointShares shares(EndpointKey key) {
        return endpoints.computeIfAbsent(key, k -> new EndpointShares(k, policy));
    }

    private EndpointShares.AllocationContext context(
            EndpointKey key, Member member, ControlState state, long now) {
        return new EndpointShares.AllocationContext(
                member.info(),
                directory.latest(key),
                memberIndex(state),
                leaderTerm,
                inGracePeriod(now));
    }
}
