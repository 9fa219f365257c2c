package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.coordination.control.EndpointDirectory.ReceivedAnnouncement;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Applies the decided term to the endpoints of a group: promotes the primary and makes the other
 * endpoints follow it.
 *
 * <p>Acts only on committed decisions. Calls are repeated until the status of the endpoint shows
 * their effect, because answers may be lost and endpoints may return after a long time.
 */
final class GroupReconciler {
    /**
     * A follower that has no entry of the term after this time gets another {@code Follow} call.
     */
    private static final long FOLLOW_RETRY_NANOS = 2_000_000_000L;

    private final String group;
    private final ControlContext context;
    private final EndpointCalls calls;
    private final ReadmissionTracker readmission;
    private final Map<String, ConfirmedFollow> confirmedFollows = new HashMap<>();
    private final Map<String, Long> fencedTerms = new HashMap<>();
    private long promotedTerm;

    /**
     * A confirmed {@code Follow} call.
     *
     * @param since start of the endpoint's uninterrupted series of announcements; an interruption
     *     may be a restart
     */
    private record ConfirmedFollow(long term, String primaryAddress, long since, long at) {}

    GroupReconciler(String group, ControlContext context, EndpointCalls calls) {
        this.group = group;
        this.context = context;
        this.calls = calls;
        this.readmission = new ReadmissionTracker(group, context, calls);
    }

    /**
     * Sends the calls that are still required.
     *
     * @param promised endpoints that promised the term; they are called even before their next
     *     announcement
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
            fencedTerms.merge(endpoint, fence.term(), Math::max);
        } else if (call instanceof EndpointCall.Follow follow) {
            long since = since(endpoint, now);
            confirmedFollows.put(
                    endpoint,
                    new ConfirmedFollow(follow.term(), follow.primaryAddress(), since, now));
        } else if (call instanceof EndpointCall.Status) {
            readmission.answered(state, endpoint, answered.sentAt(), status);
        }
    }

    /**
     * Promotes the decided primary until its promotion is observed.
     *
     * <p>The call is not repeated after that, and is never sent to another incarnation, since an
     * endpoint without data would become the primary. The endpoint refuses the call unless it
     * promised exactly this term.
     */
    private void promote(GroupState state, Member primary, long now) {
        if (promotedTerm >= state.term()) {
            return;
        }
        String name = primary.info().endpoint();
        Option<ReceivedAnnouncement> announcement =
                context.directory().alive(new EndpointKey(group, name), now);
        if (announcement.exists(a -> a.info().incarnation() != primary.info().incarnation())) {
            return;
        }
        if (announcement
                .map(ReceivedAnnouncement::status)
                .exists(status -> status.last().term() >= state.term())) {
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
        Option<ReceivedAnnouncement> announcement =
                context.directory().alive(new EndpointKey(group, name), now);
        if (announcement.isEmpty() && !promised.containsKey(name)) {
            return;
        }
        ConfirmedFollow confirmed = confirmedFollows.get(name);
        if (confirmed != null
                && confirmed.term() == state.term()
                && confirmed.primaryAddress().equals(primaryAddress)
                && confirmed.since() == since(name, now)
                && !needsRetry(state, announcement, confirmed, now)) {
            return;
        }
        boolean registered =
                announcement.forAll(a -> a.info().incarnation() == member.info().incarnation());
        String address =
                announcement.map(a -> a.info().address()).getOrElse(member.info().address());
        boolean behind = announcement.exists(a -> a.status().promisedTerm() < state.term());
        if (registered && behind && fencedTerms.getOrDefault(name, 0L) < state.term()) {
            calls.send(name, address, new EndpointCall.Fence(state.term()), now);
            return;
        }
        calls.send(name, address, new EndpointCall.Follow(state.term(), primaryAddress), now);
    }

    private static boolean needsRetry(
            GroupState state,
            Option<ReceivedAnnouncement> announcement,
            ConfirmedFollow confirmed,
            long now) {
        return now - confirmed.at() >= FOLLOW_RETRY_NANOS
                && announcement.exists(a -> a.status().last().term() < state.term());
    }

    private long since(String endpoint, long now) {
        return context.directory()
                .alive(new EndpointKey(group, endpoint), now)
                .map(ReceivedAnnouncement::since)
                .getOrElse(0L);
    }
}
