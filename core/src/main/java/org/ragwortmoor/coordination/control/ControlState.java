package org.ragwortmoor.coordination.control;

import io.vavr.Tuple2;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;

/**
 * The replicated state machine of the control group.
 *
 * <p>Immutable; versions share structure. Every control process applies the committed commands in
 * log order, so a result may depend only on the state and the command.
 *
 * @param revision number of commands that changed the state
 * @param groups groups by name
 * @param members member proxies by identifier
 * @param rules accepted and pending rule files
 * @param operations results of recent operator operations
 * @param tokenKeys keys for session tokens, newest first
 */
public record ControlState(
        long revision,
        TreeMap<String, GroupState> groups,
        TreeMap<String, MemberProxy> members,
        RuleHistory rules,
        OperationLog operations,
        Vector<TokenKey> tokenKeys) {
    /** The state before the first command. */
    public static final ControlState EMPTY =
            new ControlState(
                    0,
                    TreeMap.empty(),
                    TreeMap.empty(),
                    RuleHistory.EMPTY,
                    OperationLog.EMPTY,
                    Vector.empty());

    /** Applies a committed command and returns the next state and the outcome. */
    public Tuple2<ControlState, CommandResult> apply(ControlCommand command) {
        Tuple2<ControlState, CommandResult> applied =
                command instanceof ControlCommand.OperatorCommand operation
                        ? OperatorTransitions.applyOnce(this, operation)
                        : transition(command);
        // A retried operation returns its first result and leaves the state unchanged.
        if (applied._1 == this || !applied._2.changed()) {
            return applied;
        }
        return applied.map1(next -> next.withRevision(revision + 1));
    }

    private Tuple2<ControlState, CommandResult> transition(ControlCommand command) {
        if (command instanceof ControlCommand.MemberProxyJoined
                || command instanceof ControlCommand.GrantFloor
                || command instanceof ControlCommand.MemberProxyRemoved) {
            return MemberTransitions.apply(this, command);
        }
        if (command instanceof ControlCommand.ActivateRules activate) {
            return RuleTransitions.activate(this, activate);
        }
        if (command instanceof ControlCommand.RulesInForce inForce) {
            return RuleTransitions.inForce(this, inForce);
        }
        return GroupTransitions.apply(this, command);
    }

    ControlState withGroup(GroupState group) {
        return new ControlState(
                revision, groups.put(group.group(), group), members, rules, operations, tokenKeys);
    }

    ControlState withMembers(TreeMap<String, MemberProxy> next) {
        return new ControlState(revision, groups, next, rules, operations, tokenKeys);
    }

    ControlState withRules(RuleHistory next) {
        return new ControlState(revision, groups, members, next, operations, tokenKeys);
    }

    ControlState withOperations(OperationLog next) {
        return new ControlState(revision, groups, members, rules, next, tokenKeys);
    }

    ControlState withTokenKeys(Vector<TokenKey> next) {
        return new ControlState(revision, groups, members, rules, operations, next);
    }

    private ControlState withRevision(long next) {
        return new ControlState(next, groups, members, rules, operations, tokenKeys);
    }
}
