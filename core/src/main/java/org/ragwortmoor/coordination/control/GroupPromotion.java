package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.EndpointDirectory.ReceivedAnnouncement;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Executes the promotions of one group.
 *
 * <p>State that must survive a change of leader is in {@link GroupState}: a new leader finds a
 * begun term there and fences the endpoints again with the same term. Promises are cached here only
 * to avoid repeated calls.
 */
final class GroupPromotion {
    /**
     * Wait for further promises after a majority has promised, two round trips between failure
     * domains. A later endpoint may have a longer log or be closer to more callers.
     */
    private static final long PROMISE_WAIT_NANOS = 5_000_000L;

    /**
     * Wait for further promises during a planned switchover when the leaving primary is part of the
     * majority; it should not be selected again.
     */
    private static final long PLANNED_PROMISE_WAIT_NANOS = 50_000_000L;

    /** Interval between full steps of a group without calls in flight. */
    private static final long IDLE_STEP_INTERVAL_NANOS = 500_000_000L;

    private final String group;
    private final ControlContext context;
    private final EndpointCalls calls;
    private final PromotionTrigger trigger;
    private final GroupReconciler reconciler;
    private final PromotionBackoff backoff = new PromotionBackoff();
    private final Map<String, EndpointStatus> promises = new TreeMap<>();
    private final Set<String> unreachable = new TreeSet<>();
    private long promiseTerm;
    private long nextFullStep;
    private long majorityAt = Long.MAX_VALUE;
    private long promiseWaitEnd = Long.MAX_VALUE;
    private long highestPromised;
    private long proposedTerm;
    private long proposedAt;
    private Option<String> selected = Option.none();
    private String waiting = "";

    GroupPromotion(String group, ControlContext context) {
        this.group = group;
        this.context = context;
        this.calls = new EndpointCalls(group, context.out());
        this.trigger = new PromotionTrigger(context);
        this.reconciler = new GroupReconciler(group, context, calls);
    }

    /** Returns what the group is waiting for; empty if nothing. */
    String waiting() {
        return waiting;
    }

    /** Returns the time at which {@link #step} must run before the next tick. */
    long nextDeadline() {
        return promiseWaitEnd;
    }

    /**
     * Runs a full step unless only the suspicion of the primary can have changed since the last
     * one.
     *
     * <p>Announcements, answers and commits trigger a step anyway. A scan over thousands of idle
     * groups therefore only evaluates the failure detector for their primaries.
     */
    void scan(GroupState state, long now) {
        boolean idle = now < nextFullStep && !state.promoting() && waiting.isEmpty();
        if (idle) {
            EndpointKey primary = new EndpointKey(group, state.primary().getOrElse(""));
            idle = context.failureDetector().suspicion(primary, now).isEmpty();
        }
        if (!idle) {
            step(state, now);
        }
    }

    void step(GroupState state, long now) {
        nextFullStep = now + (calls.idle() ? IDLE_STEP_INTERVAL_NANOS : 0);
        waiting = "";
        promiseWaitEnd = Long.MAX_VALUE;
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
        reconciler.step(state, promises, now);
    }

    void completed(long now) {
        backoff.completed(now);
    }

    void answered(GroupState state, String endpoint, long call, EndpointAnswer answer, long now) {
        EndpointCalls.Pending request = calls.answered(endpoint, call);
        if (request == null) {
            return;
        }
        unreachable.remove(endpoint);
        if (answer instanceof EndpointAnswer.Refused refused) {
            highestPromised = Math.max(highestPromised, refused.term());
            calls.delayRetry(endpoint, now);
        } else if (answer instanceof EndpointAnswer.StatusReport report) {
            highestPromised = Math.max(highestPromised, report.status().promisedTerm());
            if (request.request() instanceof EndpointCall.Fence fence) {
                recordPromise(state, endpoint, fence.term(), report.status());
            }
            reconciler.answered(state, request, report.status(), now);
        }
        step(state, now);
    }

    void failed(GroupState state, String endpoint, long call, long now) {
        calls.failed(endpoint, call, now);
        unreachable.add(endpoint);
        step(state, now);
    }

    private void begin(GroupState state, PromotionTrigger.Reason reason, long now) {
        long earliestStart = backoff.earliestStart(reason.confirmed(), now);
        if (now < earliestStart) {
            waiting =
                    "waits %d ms before the next promotion: %s"
                            .formatted((earliestStart - now) / 1_000_000, reason.text());
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
            selected = Option.none();
            majorityAt = Long.MAX_VALUE;
            calls.reset();
        }
        promises.keySet().removeIf(name -> !state.endpoints().containsKey(name));
        for (Member member : state.endpoints().values()) {
            String name = member.info().endpoint();
            if (!promises.containsKey(name) && !announcesOtherIncarnation(member, now)) {
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
        long promiseWait =
                planned && !preferredMajority ? PLANNED_PROMISE_WAIT_NANOS : PROMISE_WAIT_NANOS;
        long answered = promises.size() + unreachable.size();
        if (answered < state.endpoints().size() && now - majorityAt < promiseWait) {
            promiseWaitEnd = majorityAt + promiseWait;
            return;
        }
        if (selected.isEmpty()) {
            selected =
                    PrimarySelector.select(
                            state, promises, avoided, context.reportersPerDomain(now));
        }
        selected.forEach(
                primary ->
                        context.out()
                                .propose(
                                        new ControlCommand.CompletePromotion(
                                                group, state.begunTerm(), primary),
                                        now));
    }

    /** Records a promise if it is for the term in progress and from the registered incarnation. */
    private void recordPromise(
            GroupState state, String endpoint, long term, EndpointStatus status) {
        Option<Member> member = state.endpoints().get(endpoint);
        if (term != state.begunTerm()
                || !state.promoting()
                || status.promisedTerm() != term
                || !member.exists(m -> isRegisteredIncarnation(state, m, status))) {
            return;
        }
        promises.put(endpoint, status);
    }

    /**
     * Returns whether the status is from the registered incarnation. An endpoint that lost its data
     * must not count, since it no longer holds the writes that it acknowledged. If the status does
     * not state an incarnation, an empty log in a group that already had a primary is not counted.
     */
    private static boolean isRegisteredIncarnation(
            GroupState state, Member member, EndpointStatus status) {
        if (status.incarnation() != 0) {
            return status.incarnation() == member.info().incarnation();
        }
        return state.term() == 0 || !status.last().equals(Position.ZERO);
    }

    private boolean announcesOtherIncarnation(Member member, long now) {
        return context.directory()
                .alive(new EndpointKey(group, member.info().endpoint()), now)
                .exists(a -> a.info().incarnation() != member.info().incarnation());
    }

    private String address(Member member, long now) {
        return context.directory()
                .alive(group, member, now)
                .map(ReceivedAnnouncement::info)
                .getOrElse(member.info())
                .address();
    }
}
