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
 * <p>Every member has a floor of one connection at each endpoint, which it keeps without a lease.
 * If there are more members than floors, the members with the lowest floor numbers have them, and
 * the rest share the remaining connections by leases in turns.
 */
final class ShareAllocator {
    /** Lease of a share; a silent proxy's connections are free after it. */
    static final long LEASE_NANOS = 3_000_000_000L;

    /** Turn of a long permit while more proxies want one than there are. */
    static final long PERMIT_TURN_NANOS = 1_000_000_000L;

    /** One connection of this many is never a floor, so that members without one can be served. */
    private static final int SHARED_PART = 5;

    private final EndpointDirectory directory;
    private final ShareRule rule;
    private final Map<EndpointKey, EndpointShares> endpoints = new HashMap<>();
    private long leaderTerm;
    private long holdUntil;
    private MemberFloors members;
    private long membersRevision;

    ShareAllocator(EndpointDirectory directory, ShareRule rule) {
        this.directory = directory;
        this.rule = rule;
    }

    /** Returns the number of members that have a floor at an endpoint. */
    static int floors(int connectionLimit) {
        return connectionLimit <= 1
                ? connectionLimit
                : connectionLimit - Math.max(1, connectionLimit / SHARED_PART);
    }

    /** Grants nothing beyond the reported holdings until the leases of an earlier leader ended. */
    void becameLeader(long term, long now) {
        endpoints.clear();
        members = null;
        leaderTerm = term;
        holdUntil = now + LEASE_NANOS;
    }

    /** Ends the hold at once if no proxy was ever granted anything. */
    void noEarlierLeases() {
        holdUntil = Long.MIN_VALUE;
    }

    boolean holding(long now) {
        return now < holdUntil;
    }

    /**
     * Returns the shares that the answer to a report carries. An endpoint that is not in the state
     * any more is always stated, because the proxy's lease covers what the answer leaves out.
     */
    List<Share> grant(ProxyReport report, ControlState state, long now) {
        List<Share> shares = new ArrayList<>();
        for (EndpointObservation seen : report.endpoints()) {
            EndpointKey key = seen.key();
            Option<Member> member = member(state, key);
            if (member.isEmpty()) {
                shares.add(new Share(key.group(), key.endpoint(), 0, 0, 0));
                continue;
            }
            EndpointShares.Basis basis = basis(key, member.get(), state, now);
            shares(key).grant(report, seen, basis, now).forEach(shares::add);
        }
        return shares;
    }

    /** Lets members use their floors as soon as these fit beside everything that was granted. */
    void grantFloors(ControlState state, Outbox out, long now) {
        if (holding(now) || state.members().values().forAll(MemberProxy::floorGranted)) {
            return;
        }
        for (GroupState group : state.groups().values()) {
            for (Member member : group.endpoints().values()) {
                EndpointKey key = new EndpointKey(group.group(), member.info().endpoint());
                if (!shares(key).fits(basis(key, member, state, now), now)) {
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

    private MemberFloors floorsOf(ControlState state) {
        if (members == null || membersRevision != state.revision()) {
            members = new MemberFloors(state);
            membersRevision = state.revision();
        }
        return members;
    }

    private EndpointShares shares(EndpointKey key) {
        return endpoints.computeIfAbsent(key, k -> new EndpointShares(k, rule));
    }

    private EndpointShares.Basis basis(
            EndpointKey key, Member member, ControlState state, long now) {
        return new EndpointShares.Basis(
                member.info(), directory.seen(key), floorsOf(state), leaderTerm, holding(now));
    }
}
