package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/** Coordinates the promotions of all groups. */
final class PromotionCoordinator {
    private final ControlContext context;
    private final Map<String, GroupPromotion> groups = new TreeMap<>();

    PromotionCoordinator(ControlContext context) {
        this.context = context;
    }

    void step(ControlState state, String group, long now) {
        Option<GroupState> found = state.groups().get(group);
        found.forEach(g -> promotion(group).step(g, now));
    }

    /** Scans all groups; the cost is low for idle groups. */
    void scan(ControlState state, long now) {
        state.groups().values().forEach(g -> promotion(g.group()).scan(g, now));
    }

    /** Runs a step of the groups whose wait for further promises has ended. */
    void stepDue(ControlState state, long now) {
        for (Map.Entry<String, GroupPromotion> group : groups.entrySet()) {
            if (now >= group.getValue().nextDeadline()) {
                step(state, group.getKey(), now);
            }
        }
    }

    /** Runs a step of the group that a committed command concerns. */
    void committed(ControlCommand command, CommandResult result, ControlState state, long now) {
        if (command instanceof ControlCommand.BeginPromotion c) {
            step(state, c.group(), now);
        } else if (command instanceof ControlCommand.CompletePromotion c) {
            if (result.changed()) {
                promotion(c.group()).completed(now);
            }
            step(state, c.group(), now);
        }
    }

    void answered(ControlState state, CallTarget target, EndpointAnswer answer, long now) {
        state.groups()
                .get(target.key().group())
                .forEach(
                        g ->
                                promotion(g.group())
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
                .forEach(
                        g ->
                                promotion(g.group())
                                        .failed(g, target.key().endpoint(), target.call(), now));
    }

    /** A call and the endpoint that it was sent to. */
    record CallTarget(long call, EndpointKey key) {}

    /** Returns the earliest time at which a group must run a step before the next tick. */
    long nextDeadline() {
        return groups.values().stream()
                .mapToLong(GroupPromotion::nextDeadline)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns what each waiting group is waiting for. */
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

    private GroupPromotion promotion(String group) {
        return groups.computeIfAbsent(group, g -> new GroupPromotion(g, context));
    }
}
