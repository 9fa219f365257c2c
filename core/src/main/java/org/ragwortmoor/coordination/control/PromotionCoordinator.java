package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/** Orders and carries out the promotions of all groups. */
final class PromotionCoordinator {
    private final ControlContext context;
    private final Map<String, GroupPromotion> groups = new TreeMap<>();

    PromotionCoordinator(ControlContext context) {
        this.context = context;
    }

    void step(ControlState state, String group, long now) {
        Option<GroupState> found = state.groups().get(group);
        found.forEach(g -> of(group).step(g, now));
    }

    /** Looks at all groups; cheap for those where nothing happened. */
    void scan(ControlState state, long now) {
        state.groups().values().forEach(g -> of(g.group()).scan(g, now));
    }

    /** Continues the promotions whose wait for further promises has ended. */
    void stepDue(ControlState state, long now) {
        for (Map.Entry<String, GroupPromotion> group : groups.entrySet()) {
            if (now >= group.getValue().nextDeadline()) {
                step(state, group.getKey(), now);
            }
        }
    }

    /** Continues after a committed command. */
    void committed(ControlCommand command, CommandResult result, ControlState state, long now) {
        if (command instanceof ControlCommand.BeginPromotion c) {
            step(state, c.group(), now);
        } else if (command instanceof ControlCommand.CompletePromotion c) {
            if (result.changed()) {
                of(c.group()).completed(now);
            }
            step(state, c.group(), now);
        }
    }

    void answered(ControlState state, CallTarget target, EndpointAnswer answer, long now) {
        state.groups()
                .get(target.key().group())
                .forEach(
                        g ->
                                of(g.group())
                                        .answered(
                                                g,
                                                target.key().endpoint(),
                                                target.call(),
                                                answer,
                                                now));
    }

    void failed(ControlState state, CallTarget target, long now) {
        state.groups()
                .get(target.key().group())
                .forEach(g -> of(g.group()).failed(g, target.key().endpoint(), target.call(), now));
    }

    /** A call and the endpoint that it went to. */
    record CallTarget(long call, EndpointKey key) {}

    /** Returns the earliest time at which a group has something to do before the next tick. */
    long nextDeadline() {
        return groups.values().stream()
                .mapToLong(GroupPromotion::nextDeadline)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns what each group waits for. */
    Map<String, String> waiting() {
        Map<String, String> waiting = new TreeMap<>();
        groups.forEach(
                (name, group) -> {
                    if (!group.waiting().isEmpty()) {
                        waiting.put(name, group.waiting());
                    }
                });
        return waiting;
    }

    private GroupPromotion of(String group) {
        return groups.computeIfAbsent(group, g -> new GroupPromotion(g, context));
    }
}
