package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.coordination.control.EndpointDirectory.Seen;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointStatus;

/** Decides whether a group needs a promotion and which endpoints it should avoid. */
final class PromotionTrigger {
    private final ControlContext context;

    PromotionTrigger(ControlContext context) {
        this.context = context;
    }

    /** Returns why a promotion is needed, if it is. */
    Option<String> reason(GroupState group, long highestPromised, long now) {
        if (group.term() == 0) {
            return first(group, now);
        }
        long promised = Math.max(highestPromised, highestAnnounced(group, now));
        if (promised > group.begunTerm()) {
            return Option.of(
                    "an endpoint promised term %d above term %d"
                            .formatted(promised, group.begunTerm()));
        }
        String name = group.primary().get();
        Option<Member> primary = group.endpoints().get(name);
        if (primary.isEmpty()) {
            return Option.of("primary " + name + " was replaced");
        }
        return lost(group, primary.get(), now)
                .orElse(() -> context.suspicion().suspicion(key(group, primary.get()), now))
                .orElse(() -> planned(group, primary.get(), now));
    }

    /** Returns the endpoints that are leaving or suspected. */
    Set<String> avoided(GroupState group, long now) {
        Set<String> avoided = new TreeSet<>();
        for (Member member : group.endpoints().values()) {
            if (member.leaving()
                    || context.suspicion().suspicion(key(group, member), now).isDefined()) {
                avoided.add(member.info().endpoint());
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

    /** A switch needs another endpoint that follows in the current term. */
    private Option<String> planned(GroupState group, Member primary, long now) {
        if (!primary.leaving()) {
            return Option.none();
        }
        boolean successor =
                group.endpoints()
                        .values()
                        .exists(
                                m ->
                                        !m.leaving()
                                                && alive(group, m, now)
                                                        .exists(s -> follows(s.status(), group)));
        return successor
                ? Option.of("primary " + primary.info().endpoint() + " is leaving")
                : Option.none();
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
