package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.EndpointDirectory.Seen;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Carries out the promotions of one group.
 *
 * <p>What must survive the leader is in {@link GroupState}; a new leader finds a begun term there
 * and fences again with the same term. Promises collected here only save repeated calls.
 */
final class GroupPromotion {
    /**
     * Wait for further promises after a majority: two round trips between failure domains. A later
     * one may have a longer log or stand where more callers are.
     */
    private static final long GRACE_NANOS = 5_000_000L;

    /** Wait in a planned switch, where the leaving primary itself must not decide the choice. */
    private static final long PLANNED_GRACE_NANOS = 50_000_000L;

    /** Interval of full steps of a group without calls under way. */
    private static final long QUIET_NANOS = 500_000_000L;

    private final String group;
    private final ControlContext context;
    private final EndpointCalls calls;
    private final PromotionTrigger trigger;
    private final GroupSettlement settlement;
    private final PromotionPacing pacing = new PromotionPacing();
    private final Map<String, EndpointStatus> promises = new TreeMap<>();
    private final Set<String> unreachable = new TreeSet<>();
    private long promiseTerm;
    private long fullStepAt;
    private long majorityAt = Long.MAX_VALUE;
    private long graceEnd = Long.MAX_VALUE;
    private long highestPromised;
    private long proposedTerm;
    private long proposedAt;
    private Option<String> chosen = Option.none();
    private String waiting = "";

    GroupPromotion(String group, ControlContext context) {
        this.group = group;
        this.context = context;
        this.calls = new EndpointCalls(group, context.out());
        this.trigger = new PromotionTrigger(context);
        this.settlement = new GroupSettlement(group, context, calls);
    }

    /** Returns what the group waits for; empty if nothing. */
    String waiting() {
        return waiting;
    }

    /** Returns when {@link #step} has something to do before the next tick. */
    long nextDeadline() {
        return graceEnd;
    }

    /**
     * Steps unless nothing but a suspicion can have changed since the last step.
     *
     * <p>Announcements, answers and commits step the group anyway, so a scan of thousands of quiet
     * groups only looks at the evidence against their primaries.
     */
    void scan(GroupState state, long now) {
        boolean quiet = now < fullStepAt && !state.promoting() && waiting.isEmpty();
        if (quiet) {
            EndpointKey primary = new EndpointKey(group, state.primary().getOrElse(""));
            quiet = context.suspicion().suspicion(primary, now).isEmpty();
        }
        if (!quiet) {
            step(state, now);
        }
    }

    void step(GroupState state, long now) {
        fullStepAt = now + (calls.idle() ? QUIET_NANOS : 0);
        waiting = "";
        graceEnd = Long.MAX_VALUE;
        if (state.promoting()) {
            fence(state, now);
            return;
        }
        majorityAt = Long.MAX_VALUE;
        Option<PromotionTrigger.Reason> reason = trigger.reason(state, highestPromised, now);
        if (reason.isDefined()) {
            begin(state, reason.get(), now);
        } else if (state.term() == 0) {
            waiting = "waits until a majority of %d endpoints announced".formatted(state.size());
        }
        settlement.step(state, promises, now);
    }

    void completed(long now) {
        pacing.completed(now);
    }

    void answered(GroupState state, String endpoint, long call, EndpointAnswer answer, long now) {
        EndpointCalls.Pending request = calls.answered(endpoint, call);
        if (request == null) {
            return;
        }
        unreachable.remove(endpoint);
        if (answer instanceof EndpointAnswer.Refused refused) {
            highestPromised = Math.max(highestPromised, refused.term());
            calls.pause(endpoint, now);
        } else if (answer instanceof EndpointAnswer.StatusReport report) {
            highestPromised = Math.max(highestPromised, report.status().promisedTerm());
            if (request.request() instanceof EndpointCall.Fence fence) {
                fenced(state, endpoint, fence.term(), report.status());
            }
            settlement.answered(state, request, report.status(), now);
        }
        step(state, now);
    }

    void failed(GroupState state, String endpoint, long call, long now) {
        calls.failed(endpoint, call, now);
        unreachable.add(endpoint);
        step(state, now);
    }

    private void begin(GroupState state, PromotionTrigger.Reason reason, long now) {
        long notBefore = pacing.notBefore(reason.certain(), now);
        if (now < notBefore) {
            waiting =
                    "waits %d ms before the next promotion: %s"
                            .formatted((notBefore - now) / 1_000_000, reason.text());
            return;
        }
        long term = Math.max(state.begunTerm(), highestPromised) + 1;
        if (proposedTerm == term && now - proposedAt < Outbox.REPROPOSE_NANOS) {
            return;
        }
        proposedTerm = term;
        proposedAt = now;
        context.out().propose(new ControlCommand.BeginPromotion(group, term, reason.text()), now);
    }

    private void fence(GroupState state, long now) {
        long term = state.begunTerm();
        if (promiseTerm != term) {
            promiseTerm = term;
            promises.clear();
            unreachable.clear();
            chosen = Option.none();
            majorityAt = Long.MAX_VALUE;
            calls.reset();
        }
        promises.keySet().removeIf(name -> !state.endpoints().containsKey(name));
        for (Member member : state.endpoints().values()) {
            String name = member.info().endpoint();
            if (!promises.containsKey(name) && !lostData(member, now)) {
                calls.send(name, address(member, now), new EndpointCall.Fence(term), now);
            }
        }
        if (promises.size() < state.majority()) {
            waitForMajority(state, now);
            return;
        }
        if (majorityAt == Long.MAX_VALUE) {
            majorityAt = now;
        }
        decide(state, now);
    }

    private void waitForMajority(GroupState state, long now) {
        Set<String> missing = new TreeSet<>(state.endpoints().keySet().toJavaSet());
        missing.removeAll(promises.keySet());
        waiting =
                "term %d waits for %d promises, has %d; none from %s"
                        .formatted(
                                state.begunTerm(),
                                state.majority(),
                                promises.size(),
                                String.join(", ", missing));
        if (highestPromised > state.begunTerm()) {
            String reason = "an endpoint promised term " + highestPromised;
            begin(state, new PromotionTrigger.Reason(reason, false), now);
        }
    }

    private void decide(GroupState state, long now) {
        Set<String> avoided = trigger.avoided(state, now);
        boolean planned =
                state.primary().exists(p -> avoided.contains(p) && promises.containsKey(p));
        boolean preferredMajority =
                promises.keySet().stream().filter(p -> !avoided.contains(p)).count()
                        >= state.majority();
        long grace = planned && !preferredMajority ? PLANNED_GRACE_NANOS : GRACE_NANOS;
        long answered = promises.size() + unreachable.size();
        if (answered < state.endpoints().size() && now - majorityAt < grace) {
            graceEnd = majorityAt + grace;
            return;
        }
        if (chosen.isEmpty()) {
            chosen =
                    CandidateChoice.choose(
                            state, promises, avoided, context.reportersPerDomain(now));
        }
        chosen.forEach(
                primary ->
                        context.out()
                                .propose(
                                        new ControlCommand.CompletePromotion(
                                                group, state.begunTerm(), primary),
                                        now));
    }

    /** Counts a promise of the term that is under way, from the registered incarnation only. */
    private void fenced(GroupState state, String endpoint, long term, EndpointStatus status) {
        Option<Member> member = state.endpoints().get(endpoint);
        if (term != state.begunTerm()
                || !state.promoting()
                || status.promisedTerm() != term
                || !member.exists(m -> countable(state, m, status))) {
            return;
        }
        promises.put(endpoint, status);
    }

    /**
     * An endpoint that lost its data must not stand for what it acknowledged before. If the status
     * does not state the incarnation, an empty log in a group that had a primary is not counted.
     */
    private static boolean countable(GroupState state, Member member, EndpointStatus status) {
        if (status.incarnation() != 0) {
            return status.incarnation() == member.info().incarnation();
        }
        return state.term() == 0 || !status.last().equals(Position.ZERO);
    }

    private boolean lostData(Member member, long now) {
        return context.directory()
                .alive(new EndpointKey(group, member.info().endpoint()), now)
                .exists(seen -> seen.info().incarnation() != member.info().incarnation());
    }

    private String address(Member member, long now) {
        return context.directory()
                .alive(group, member, now)
                .map(Seen::info)
                .getOrElse(member.info())
                .address();
    }
}
