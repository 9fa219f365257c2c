package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.EndpointDirectory.ReceivedAnnouncement;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;

/** Decides whether a group needs a promotion and which endpoints should not become the primary. */
final class PromotionTrigger {
    /**
     * Interval between attempts to replace a leaving primary while the possible successors are no
     * majority.
     */
    private static final long SWITCHOVER_RETRY_NANOS = 30_000_000_000L;

    /** Time window at the start of each interval in which an attempt may begin. */
    private static final long SWITCHOVER_WINDOW_NANOS = 1_000_000_000L;

    private final ControlContext context;
    private final IsolatedPrimaryDetector isolationDetector;
    private long leavingSince = Long.MIN_VALUE;

    PromotionTrigger(ControlContext context) {
        this.context = context;
        this.isolationDetector = new IsolatedPrimaryDetector(context.directory());
    }

    /**
     * The reason for a promotion.
     *
     * @param text evidence for operators
     * @param confirmed whether the reason follows from the primary itself or from the control
     *     state; a suspicion may be wrong, so only promotions because of suspicions get an
     *     increasing backoff
     */
    record Reason(String text, boolean confirmed) {}

    /** Returns the reason for a promotion, or none if no promotion is needed. */
    Option<Reason> reason(GroupState group, long highestPromised, long now) {
        if (group.term() == 0) {
            return initialPromotion(group, now).map(PromotionTrigger::confirmed);
        }
        long promised = Math.max(highestPromised, highestAnnounced(group, now));
        if (promised > group.begunTerm()) {
            return Option.of(
                    suspected(
                            "an endpoint promised term %d above term %d"
                                    .formatted(promised, group.begunTerm())));
        }
        String name = group.primary().get();
        Option<Member> primary = group.endpoints().get(name);
        if (primary.isEmpty()) {
            return Option.of(confirmed("primary " + name + " was replaced"));
        }
        return lostPrimary(group, primary.get(), now)
                .map(PromotionTrigger::confirmed)
                .orElse(
                        () ->
                                context.failureDetector()
                                        .suspicion(key(group, primary.get()), now)
                                        .orElse(() -> isolationDetector.suspicion(group, name, now))
                                        .map(PromotionTrigger::suspected))
                .orElse(
                        () ->
                                plannedSwitchover(group, primary.get(), now)
                                        .map(PromotionTrigger::confirmed));
    }

    private static Reason confirmed(String text) {
        return new Reason(text, true);
    }

    private static Reason suspected(String text) {
        return new Reason(text, false);
    }

    /**
     * Returns the endpoints that are leaving or suspected, including a primary that is isolated
     * from its group.
     */
    Set<String> avoided(GroupState group, long now) {
        Set<String> avoided = new TreeSet<>();
        for (Member member : group.endpoints().values()) {
            String name = member.info().endpoint();
            boolean isolated =
                    group.primary().contains(name)
                            && isolationDetector.suspicion(group, name, now).isDefined();
            if (member.leaving()
                    || isolated
                    || context.failureDetector().suspicion(key(group, member), now).isDefined()) {
                avoided.add(name);
            }
        }
        return avoided;
    }

    private Option<String> initialPromotion(GroupState group, long now) {
        int alive = group.endpoints().values().count(m -> alive(group, m, now).isDefined());
        return alive >= group.majority()
                ? Option.of("first promotion of the group")
                : Option.none();
    }

    /**
     * Returns the reason if the primary restarted without its data or without its role; it cannot
     * serve its term again.
     */
    private Option<String> lostPrimary(GroupState group, Member primary, long now) {
        String name = primary.info().endpoint();
        Option<ReceivedAnnouncement> announcement =
                context.directory().alive(key(group, primary), now);
        if (announcement.exists(a -> a.info().incarnation() != primary.info().incarnation())) {
            return Option.of("primary " + name + " restarted without its data");
        }
        Option<EndpointStatus> status = announcement.map(ReceivedAnnouncement::status);
        if (status.exists(s -> !s.primary() && s.last().term() == group.term())) {
            return Option.of("primary " + name + " restarted and no longer acts as the primary");
        }
        return Option.none();
    }

    /**
     * Returns the reason if the primary is leaving and another endpoint that follows in the current
     * term can replace it.
     *
     * <p>If these endpoints are no majority, the leaving primary itself may have the longest log
     * and be selected again, which costs a write gap. Such attempts are therefore made rarely.
     */
    private Option<String> plannedSwitchover(GroupState group, Member primary, long now) {
        if (!primary.leaving()) {
            leavingSince = Long.MIN_VALUE;
            return Option.none();
        }
        if (leavingSince == Long.MIN_VALUE) {
            leavingSince = now;
        }
        int successors = group.endpoints().values().count(m -> canSucceed(group, m, now));
        boolean inWindow = (now - leavingSince) % SWITCHOVER_RETRY_NANOS < SWITCHOVER_WINDOW_NANOS;
        return successors >= group.majority() || (successors > 0 && inWindow)
                ? Option.of("primary " + primary.info().endpoint() + " is leaving")
                : Option.none();
    }

    private boolean canSucceed(GroupState group, Member member, long now) {
        return !member.leaving()
                && alive(group, member, now).exists(a -> follows(a.status(), group));
    }

    private static boolean follows(EndpointStatus status, GroupState group) {
        return status.promisedTerm() == group.term() && status.last().term() == group.term();
    }

    private long highestAnnounced(GroupState group, long now) {
        return group.endpoints()
                .values()
                .flatMap(m -> alive(group, m, now))
                .map(a -> a.status().promisedTerm())
                .max()
                .getOrElse(0L);
    }

    private Option<ReceivedAnnouncement> alive(GroupState group, Member member, long now) {
        return context.directory().alive(group.group(), member, now);
    }

    private static EndpointKey key(GroupState group, Member member) {
        return new EndpointKey(group.group(), member.info().endpoint());
    }
}
