package org.ragwortmoor.coordination.control;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.Set;
import io.vavr.control.Option;

/** State transitions of the commands that concern member proxies. */
final class MemberTransitions {
    private MemberTransitions() {}

    static Tuple2<ControlState, CommandResult> apply(ControlState state, ControlCommand command) {
        if (command instanceof ControlCommand.MemberProxyJoined c) {
            return join(state, c);
        }
        if (command instanceof ControlCommand.GrantFloor c) {
            return grantFloor(state, c.proxy());
        }
        if (command instanceof ControlCommand.MemberProxyRemoved c) {
            return remove(state, c.proxy());
        }
        throw new IllegalArgumentException(
                "unsupported command type: " + command.getClass().getName());
    }

    private static Tuple2<ControlState, CommandResult> join(
            ControlState state, ControlCommand.MemberProxyJoined c) {
        if (state.members().containsKey(c.proxy())) {
            return Tuple.of(state, CommandResult.unchanged(c.proxy() + " is a member"));
        }
        Set<Integer> taken = state.members().values().map(MemberProxy::floorNumber).toSet();
        int number = 0;
        while (taken.contains(number)) {
            number++;
        }
        MemberProxy member = new MemberProxy(c.proxy(), c.failureDomain(), number, false);
        return Tuple.of(
                state.withMembers(state.members().put(c.proxy(), member)),
                CommandResult.accepted(number, c.proxy() + " joined"));
    }

    private static Tuple2<ControlState, CommandResult> grantFloor(
            ControlState state, String proxy) {
        Option<MemberProxy> member = state.members().get(proxy);
        if (member.isEmpty()) {
            return Tuple.of(state, CommandResult.refused(proxy + " is not a member"));
        }
        MemberProxy known = member.get();
        if (known.floorGranted()) {
            return Tuple.of(state, CommandResult.unchanged(proxy + " has its floor"));
        }
        MemberProxy granted =
                new MemberProxy(known.proxy(), known.failureDomain(), known.floorNumber(), true);
        return Tuple.of(
                state.withMembers(state.members().put(proxy, granted)),
                CommandResult.accepted(0, proxy + " may use its floor"));
    }

    static Tuple2<ControlState, CommandResult> remove(ControlState state, String proxy) {
        if (!state.members().containsKey(proxy)) {
            return Tuple.of(state, CommandResult.unchanged(proxy + " is not a member"));
        }
        return Tuple.of(
                state.withMembers(state.members().remove(proxy)),
                CommandResult.accepted(0, proxy + " removed"));
    }
}
