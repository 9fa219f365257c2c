package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.coordination.control.EndpointDirectory.Seen;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Brings the endpoints of a group to the decided term: the primary is promoted, the others follow.
 *
 * <p>Works on committed decisions only. Calls are repeated until the endpoint's status shows their
 * effect, because answers get lost and endpoints return after a long time.
 */
final class GroupSettlement {
    /** A follower without an entry of the term after this time is told again whom to follow. */
    private static final long REPEAT_NANOS = 2_000_000_000L;

    private final String group;
    private final ControlContext context;
    private final EndpointCalls calls;
    private final ReadmissionWatch readmission;
    private final Map<String, Followed> followed = new HashMap<>();
    private final Map<String, Long> fencedTerm = new HashMap<>();
    private long promotedTerm;

    /**
     * A confirmed {@code Follow}.
     *
     * @param since start of the endpoint's series of announcements; a break may be a restart
     */
    private record Followed(long term, String primaryAddress, long since, long at) {}

    GroupSettlement(String group, ControlContext context, EndpointCalls calls) {
        this.group = group;
        this.context = context;
        this.calls = calls;
        this.readmission = new ReadmissionWatch(group, context, calls);
    }

    /**
     * Sends what is missing.
     *
     * @param promised endpoints that promised the term lately; they are called before they announce
     */
    void step(GroupState state, Map<String, EndpointStatus> promised, long now) {
        Option<Member> primary = state.primary().flatMap(p -> state.endpoints().get(p));
        if (primary.isEmpty()) {
            return;
        }
        promote(state, primary.get(), now);
        String address = primary.get().info().address();
        for (Member member : state.endpoints().values()) {
            if (member != primary.get()) {
                follow(state, member, address, promised, now);
            }
        }
        if (promotedTerm >= state.term()) {
            readmission.step(state, now);
        }
    }

    void answered(
            GroupState state, EndpointCalls.Pending answered, EndpointStatus status, long now) {
        String endpoint = answered.endpoint();
        EndpointCall call = answered.request();
        if (call instanceof EndpointCall.Promote promote && status.primary()) {
            promotedTerm = Math.max(promotedTerm, promote.term());
        } else if (call instanceof EndpointCall.Fence fence) {
            fencedTerm.merge(endpoint, fence.term(), Math::max);
        } else if (call instanceof EndpointCall.Follow follow) {
            long since = since(endpoint, now);
            followed.put(
                    endpoint, new Followed(follow.term(), follow.primaryAddress(), since, now));
        } else if (call instanceof EndpointCall.Status) {
            readmission.answered(state, endpoint, answered.sentAt(), status);
        }
    }

    /**
     * Promotes the decided primary until it is seen as the primary.
     *
     * <p>Never repeated once seen, and never sent to another incarnation: an empty endpoint would
     * become the primary. The endpoint refuses the call unless it promised this very term.
     */
    private void promote(GroupState state, Member primary, long now) {
        if (promotedTerm >= state.term()) {
            return;
        }
        String name = primary.info().endpoint();
        Option<Seen> seen = context.directory().alive(new EndpointKey(group, name), now);
        if (seen.exists(s -> s.info().incarnation() != primary.info().incarnation())) {
            return;
        }
        if (seen.map(Seen::status).exists(s -> s.last().term() >= state.term())) {
            promotedTerm = state.term();
            return;
        }
        calls.send(name, primary.info().address(), new EndpointCall.Promote(state.term()), now);
    }

    private void follow(
            GroupState state,
            Member member,
            String primaryAddress,
            Map<String, EndpointStatus> promised,
            long now) {
        String name = member.info().endpoint();
        Option<Seen> seen = context.directory().alive(new EndpointKey(group, name), now);
        if (seen.isEmpty() && !promised.containsKey(name)) {
            return;
        }
        Followed confirmed = followed.get(name);
        if (confirmed != null
                && confirmed.term() == state.term()
                && confirmed.primaryAddress().equals(primaryAddress)
                && confirmed.since() == since(name, now)
                && !stuck(state, seen, confirmed, now)) {
            return;
        }
        boolean registered =
                seen.forAll(s -> s.info().incarnation() == member.info().incarnation());
        String address = seen.map(s -> s.info().address()).getOrElse(member.info().address());
        boolean behind = seen.exists(s -> s.status().promisedTerm() < state.term());
        if (registered && behind && fencedTerm.getOrDefault(name, 0L) < state.term()) {
            calls.send(name, address, new EndpointCall.Fence(state.term()), now);
            return;
        }
        calls.send(name, address, new EndpointCall.Follow(state.term(), primaryAddress), now);
    }

    private static boolean stuck(
            GroupState state, Option<Seen> seen, Followed confirmed, long now) {
        return now - confirmed.at() >= REPEAT_NANOS
                && seen.exists(s -> s.status().last().term() < state.term());
    }

    private long since(String endpoint, long now) {
        return context.directory()
                .alive(new EndpointKey(group, endpoint), now)
                .map(Seen::since)
                .getOrElse(0L);
    }
}
