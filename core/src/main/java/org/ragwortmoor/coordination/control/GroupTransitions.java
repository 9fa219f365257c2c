package org.ragwortmoor.coordination.control;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.control.Option;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.state.EndpointInfo;

/** State transitions of the commands that concern a single group. */
final class GroupTransitions {
    private GroupTransitions() {}

    static Tuple2<ControlState, CommandResult> apply(ControlState state, ControlCommand command) {
        if (command instanceof ControlCommand.RegisterGroup c) {
            return registerGroup(state, c);
        }
        if (command instanceof ControlCommand.RegisterEndpoint c) {
            return ifRegistered(state, c.group(), g -> registerEndpoint(state, g, c.info()));
        }
        if (command instanceof ControlCommand.ReadmitEndpoint c) {
            return ifRegistered(state, c.group(), g -> readmit(state, g, c));
        }
        if (command instanceof ControlCommand.EndpointAddressChanged c) {
            return ifRegistered(state, c.group(), g -> addressChanged(state, g, c.info()));
        }
        if (command instanceof ControlCommand.EndpointLeaving c) {
            return ifRegistered(state, c.group(), g -> leaving(state, g, c));
        }
        if (command instanceof ControlCommand.BeginPromotion c) {
            return ifRegistered(state, c.group(), g -> begin(state, g, c));
        }
        if (command instanceof ControlCommand.CompletePromotion c) {
            return ifRegistered(state, c.group(), g -> complete(state, g, c));
        }
        throw new IllegalArgumentException(
                "unsupported command type: " + command.getClass().getName());
    }

    private interface Transition {
        Tuple2<ControlState, CommandResult> apply(GroupState group);
    }

    private static Tuple2<ControlState, CommandResult> ifRegistered(
            ControlState state, String group, Transition transition) {
        Option<GroupState> found = state.groups().get(group);
        if (found.isEmpty()) {
            return refused(state, "group " + group + " is not registered");
        }
        return transition.apply(found.get());
    }

    private static Tuple2<ControlState, CommandResult> registerGroup(
            ControlState state, ControlCommand.RegisterGroup c) {
        Option<GroupState> known = state.groups().get(c.group());
        if (known.isDefined()) {
            return known.get().size() == c.size()
                    ? unchanged(state, "group " + c.group() + " is registered")
                    : refused(
                            state,
                            "group %s has size %d, not %d; correct the endpoint's setting"
                                    .formatted(c.group(), known.get().size(), c.size()));
        }
        if (c.size() < 1) {
            return refused(state, "group size must be at least 1, not " + c.size());
        }
        GroupState created = GroupState.create(c.group(), c.size(), state.revision() + 1);
        long floor = state.rules().restoreFloor();
        if (floor > 0) {
            // The group may already have used terms between the backup and the restore.
            created = created.begun(floor, "registered after a restore");
        }
        return accepted(state, created, 0, "group " + c.group() + " registered");
    }

    private static Tuple2<ControlState, CommandResult> registerEndpoint(
            ControlState state, GroupState group, EndpointInfo info) {
        Option<Member> known = group.endpoints().get(info.endpoint());
        if (known.isDefined()) {
            return known.get().info().incarnation() == info.incarnation()
                    ? unchanged(state, "endpoint " + info.endpoint() + " is registered")
                    : refused(
                            state,
                            "endpoint %s lost its data: incarnation %d replaced %d"
                                    .formatted(
                                            info.endpoint(),
                                            info.incarnation(),
                                            known.get().info().incarnation()));
        }
        if (group.endpoints().size() >= group.size()) {
            return refused(
                    state,
                    "group %s has its %d endpoints; replace one to admit %s"
                            .formatted(group.group(), group.size(), info.endpoint()));
        }
        return accepted(
                state,
                group.withMember(new Member(info, false), state.revision() + 1),
                0,
                "endpoint " + info.endpoint() + " registered");
    }

    /**
     * Accepts the new incarnation only in the term in which it was observed to hold the log: a
     * promotion that was begun later may have counted a majority without it.
     */
    private static Tuple2<ControlState, CommandResult> readmit(
            ControlState state, GroupState group, ControlCommand.ReadmitEndpoint c) {
        Option<Member> known = group.endpoints().get(c.info().endpoint());
        if (known.isEmpty()) {
            return refused(state, "endpoint " + c.info().endpoint() + " is not registered");
        }
        if (known.get().info().incarnation() == c.info().incarnation()) {
            return unchanged(state, "endpoint " + c.info().endpoint() + " is registered");
        }
        if (group.promoting() || group.term() != c.term()) {
            return refused(state, "the group is no longer in term " + c.term());
        }
        if (group.primary().contains(c.info().endpoint())) {
            return refused(state, "the primary of term " + c.term() + " cannot be readmitted");
        }
        return accepted(
                state,
                group.withMember(new Member(c.info(), known.get().drained()), state.revision() + 1),
                c.term(),
                "endpoint " + c.info().endpoint() + " readmitted");
    }

    private static Tuple2<ControlState, CommandResult> addressChanged(
            ControlState state, GroupState group, EndpointInfo info) {
        Option<Member> known = group.endpoints().get(info.endpoint());
        if (known.isEmpty() || known.get().info().incarnation() != info.incarnation()) {
            return refused(state, "this incarnation of " + info.endpoint() + " is not registered");
        }
        EndpointInfo next = GroupState.withLeaving(info, known.get().info().leaving());
        if (known.get().info().equals(next)) {
            return unchanged(state, "endpoint " + info.endpoint() + " is unchanged");
        }
        return accepted(
                state,
                group.withMember(new Member(next, known.get().drained()), state.revision() + 1),
                0,
                "endpoint " + info.endpoint() + " is at " + info.address());
    }

    private static Tuple2<ControlState, CommandResult> leaving(
            ControlState state, GroupState group, ControlCommand.EndpointLeaving c) {
        Option<Member> known = group.endpoints().get(c.endpoint());
        if (known.isEmpty()) {
            return refused(state, "endpoint " + c.endpoint() + " is not registered");
        }
        if (known.get().info().leaving() == c.leaving()) {
            return unchanged(state, "endpoint " + c.endpoint() + " is unchanged");
        }
        EndpointInfo next = GroupState.withLeaving(known.get().info(), c.leaving());
        return accepted(
                state,
                group.withMember(new Member(next, known.get().drained()), state.revision() + 1),
                0,
                "endpoint "
                        + c.endpoint()
                        + (c.leaving() ? " is leaving" : " is no longer leaving"));
    }

    private static Tuple2<ControlState, CommandResult> begin(
            ControlState state, GroupState group, ControlCommand.BeginPromotion c) {
        if (c.term() <= group.begunTerm()) {
            return refused(
                    state,
                    "term %d of group %s was already begun".formatted(c.term(), group.group()));
        }
        return accepted(
                state,
                group.begun(c.term(), c.reason()),
                c.term(),
                "promotion begun in term " + c.term());
    }

    private static Tuple2<ControlState, CommandResult> complete(
            ControlState state, GroupState group, ControlCommand.CompletePromotion c) {
        if (!group.promoting() || c.term() != group.begunTerm()) {
            return refused(
                    state,
                    "term %d of group %s is decided or superseded"
                            .formatted(c.term(), group.group()));
        }
        if (!group.endpoints().containsKey(c.primary())) {
            return refused(state, c.primary() + " is not an endpoint of group " + group.group());
        }
        return accepted(
                state,
                group.completed(c.primary(), state.revision() + 1),
                c.term(),
                c.primary() + " is the primary of term " + c.term());
    }

    private static Tuple2<ControlState, CommandResult> accepted(
            ControlState state, GroupState next, long value, String message) {
        return Tuple.of(state.withGroup(next), CommandResult.accepted(value, message));
    }

    private static Tuple2<ControlState, CommandResult> unchanged(
            ControlState state, String message) {
        return Tuple.of(state, CommandResult.unchanged(message));
    }

    private static Tuple2<ControlState, CommandResult> refused(ControlState state, String message) {
        return Tuple.of(state, CommandResult.refused(message));
    }
}
