package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.EndpointDirectory.Seen;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;

/** Decides whether a group needs a promotion and which endpoints it should avoid. */
final class PromotionTrigger {
    /** Interval of attempts to replace a leaving primary without a majority of others. */
    private static final long RETRY_NANOS = 30_000_000_000L;

    /** Within each interval, the time in which the attempt may begin. */
    private static final long ATTEMPT_NANOS = 1_000_000_000L;

    private final ControlContext context;
    private final IsolatedPrimary isolated;
    private long leavingSince = Long.MIN_VALUE;

    PromotionTrigger(ControlContext context) {
        this.context = context;
        this.isolated = new IsolatedPrimary(context.directory());
    }

    /**
     * Why a promotion is needed.
     *
     * @param text the evidence, for operators
     * @param certain whether the primary itself or the control state says so; a suspicion may be
     *     wrong, so only its promotions are spaced further and further apart
     */
    record Reason(String text, boolean certain) {}

    /** Returns why a promotion is needed, if it is. */
    Option<Reason> reason(GroupState group, long highestPromised, long now) {
        if (group.term() == 0) {
            return first(group, now).map(PromotionTrigger::certain);
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
            return Option.of(certain("primary " + name + " was replaced"));
        }
        return lost(group, primary.get(), now)
                .map(PromotionTrigger::certain)
                .orElse(
                        () ->
                                context.suspicion()
                                        .suspicion(key(group, primary.get()), now)
                                        .orElse(() -> isolated.suspicion(group, name, now))
                                        .map(PromotionTrigger::suspected))
                .orElse(() -> planned(group, primary.get(), now).map(PromotionTrigger::certain));
    }

    private static Reason certain(String text) {
        return new Reason(text, true);
    }

    private static Reason suspected(String text) {
        return new Reason(text, false);
    }

    /** Returns the endpoints that are leaving or suspected, and a primary without its group. */
    Set<String> avoided(GroupState group, long now) {
        Set<String> avoided = new TreeSet<>();
        for (Member member : group.endpoints().values()) {
            String name = member.info().endpoint();
            boolean cutOff =
                    group.primary().contains(name)
                            && isolated.suspicion(group, name, now).isDefined();
            if (member.leaving()
                    || cutOff
                    || context.suspicion().suspicion(key(group, member), now).isDefined()) {
                avoided.add(name);
            }
        }
        return avoided;
    }

    private Option<String> first(GroupState group, long now) {
        int alive = group.endpoints().values().count(m -> alive(group, m, now).isDefined());
        return alive >= group.majority()
                ? Option.of("first promotion of the group")
                : Option.none();
    }

    /**
     * A primary that restarted without its data or without its role cannot serve its term again.
     */
    private Option<String> lost(GroupState group, Member primary, long now) {
        String name = primary.info().endpoint();
        Option<Seen> seen = context.directory().alive(key(group, primary), now);
        if (seen.exists(s -> s.info().incarnation() != primary.info().incarnation())) {
            return Option.of("primary " + name + " restarted without its data");
        }
        Option<EndpointStatus> status = seen.map(Seen::status);
        if (status.exists(s -> !s.primary() && s.last().term() == group.term())) {
            return Option.of("primary " + name + " restarted and no longer acts as the primary");
        }
        return Option.none();
    }

    /**
     * A switch needs other endpoints that follow in the current term.
     *
     * <p>If they are no majority, the leaving primary itself may have the longest log and be chosen
     * again at the price of a write gap, so that is tried rarely.
     */
    private Option<String> planned(GroupState group, Member primary, long now) {
        if (!primary.leaving()) {
            leavingSince = Long.MIN_VALUE;
            return Option.none();
        }
        if (leavingSince == Long.MIN_VALUE) {
            leavingSince = now;
        }
        int successors = group.endpoints().values().count(m -> successor(group, m, now));
        boolean mayTry = (now - leavingSince) % RETRY_NANOS < ATTEMPT_NANOS;
        return successors >= group.majority() || (successors > 0 && mayTry)
                ? Option.of("primary " + primary.info().endpoint() + " is leaving")
                : Option.none();
    }

    private boolean successor(GroupState group, Member member, long now) {
        return !member.leaving()
                && alive(group, member, now).exists(s -> follows(s.status(), group));
    }

    private static boolean follows(EndpointStatus status, GroupState group) {
        return status.promisedTerm() == group.term() && status.last().term() == group.term();
    }

    private long highestAnnounced(GroupState group, long now) {
        return group.endpoints()
                .values()
                .flatMap(m -> alive(group, m, now))
                .map(s -> s.status().promisedTerm())
                .max()
                .getOrElse(0L);
    }

    private Option<Seen> alive(GroupState group, Member member, long now) {
        return context.directory().alive(group.group(), member, now);
    }

    private static EndpointKey key(GroupState group, Member member) {
        return new EndpointKey(group.group(), member.info().endpoint());
    }
}
