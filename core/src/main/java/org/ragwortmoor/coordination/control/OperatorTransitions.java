package org.ragwortmoor.coordination.control;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.ragwortmoor.coordination.control.ControlCommand.OperatorCommand;
import org.ragwortmoor.coordination.control.GroupState.Member;

/** State transitions of operator commands; each operation id is applied at most once. */
final class OperatorTransitions {
    private OperatorTransitions() {}

    static Tuple2<ControlState, CommandResult> applyOnce(
            ControlState state, OperatorCommand command) {
        Option<CommandResult> recorded = recorded(state, command);
        if (recorded.isDefined()) {
            return Tuple.of(state, recorded.get());
        }
        Tuple2<ControlState, CommandResult> applied = apply(state, command);
        OperationLog.Entry entry = new OperationLog.Entry(fingerprint(command), applied._2);
        return Tuple.of(
                applied._1.withOperations(
                        applied._1.operations().add(command.operationId(), entry)),
                applied._2);
    }

    /**
     * Returns the recorded result of the operation, or a refusal if the id was used for a different
     * request.
     */
    static Option<CommandResult> recorded(ControlState state, OperatorCommand command) {
        return state.operations()
                .find(command.operationId())
                .map(
                        entry ->
                                entry.fingerprint().equals(fingerprint(command))
                                        ? entry.result()
                                        : CommandResult.refused(
                                                "operation id "
                                                        + command.operationId()
                                                        + " was used for another request;"
                                                        + " choose a new one"));
    }

    /** Returns whether both commands request the same change. */
    static boolean sameRequest(OperatorCommand one, OperatorCommand other) {
        return fingerprint(one).equals(fingerprint(other));
    }

    private static Tuple2<ControlState, CommandResult> apply(
            ControlState state, OperatorCommand command) {
        if (command instanceof ControlCommand.ApplyRules c) {
            return RuleTransitions.apply(state, c);
        }
        if (command instanceof ControlCommand.PrepareRules c) {
            return RuleTransitions.prepare(state, c);
        }
        if (command instanceof ControlCommand.WithdrawRules c) {
            return RuleTransitions.withdraw(state, c);
        }
        if (command instanceof ControlCommand.DrainEndpoint c) {
            return drain(state, c);
        }
        if (command instanceof ControlCommand.RemoveProxy c) {
            return MemberTransitions.remove(state, c.proxy());
        }
        if (command instanceof ControlCommand.ReplaceEndpoint c) {
            return replace(state, c);
        }
        if (command instanceof ControlCommand.AddTokenKey c) {
            return addTokenKey(state, c.key());
        }
        throw new IllegalArgumentException(
                "unsupported command type: " + command.getClass().getName());
    }

    private static Tuple2<ControlState, CommandResult> drain(
            ControlState state, ControlCommand.DrainEndpoint c) {
        Option<GroupState> group = state.groups().get(c.group());
        Option<Member> member = group.flatMap(g -> g.endpoints().get(c.endpoint()));
        if (member.isEmpty()) {
            return Tuple.of(state, CommandResult.refused(unknownEndpoint(c.group(), c.endpoint())));
        }
        if (member.get().drained() == c.drained()) {
            return Tuple.of(state, CommandResult.unchanged(c.endpoint() + " is unchanged"));
        }
        GroupState next =
                group.get()
                        .withMember(
                                new Member(member.get().info(), c.drained()), state.revision() + 1);
        return Tuple.of(
                state.withGroup(next),
                CommandResult.accepted(
                        0, c.endpoint() + (c.drained() ? " is drained" : " takes work again")));
    }

    private static Tuple2<ControlState, CommandResult> replace(
            ControlState state, ControlCommand.ReplaceEndpoint c) {
        Option<GroupState> group = state.groups().get(c.group());
        if (!group.exists(g -> g.endpoints().containsKey(c.replaced()))) {
            return Tuple.of(state, CommandResult.refused(unknownEndpoint(c.group(), c.replaced())));
        }
        String added = c.info().endpoint();
        if (!added.equals(c.replaced()) && group.get().endpoints().containsKey(added)) {
            return Tuple.of(state, CommandResult.refused(added + " is already an endpoint"));
        }
        if (!group.get().promoting() && group.get().primary().contains(c.replaced())) {
            return Tuple.of(
                    state, CommandResult.refused("the primary cannot be replaced; drain it first"));
        }
        GroupState next =
                group.get()
                        .withoutMember(c.replaced())
                        .withMember(new Member(c.info(), false), state.revision() + 1);
        return Tuple.of(
                state.withGroup(next),
                CommandResult.accepted(0, added + " takes the place of " + c.replaced()));
    }

    private static Tuple2<ControlState, CommandResult> addTokenKey(
            ControlState state, TokenKey key) {
        if (state.tokenKeys().exists(k -> k.id() == key.id())) {
            return Tuple.of(state, CommandResult.refused("key id " + key.id() + " is in use"));
        }
        return Tuple.of(
                state.withTokenKeys(state.tokenKeys().prepend(key)),
                CommandResult.accepted(key.id(), "key " + key.id() + " added"));
    }

    private static String unknownEndpoint(String group, String endpoint) {
        return "group " + group + " has no endpoint " + endpoint;
    }

    /** Returns a digest of the request without its time, which may differ in a retry. */
    private static String fingerprint(OperatorCommand command) {
        String content;
        if (command instanceof ControlCommand.ApplyRules c) {
            content = "rules " + c.expectedVersion() + " " + c.text();
        } else if (command instanceof ControlCommand.PrepareRules c) {
            content = "rules " + c.expectedVersion() + " " + c.text();
        } else if (command instanceof ControlCommand.WithdrawRules c) {
            content = "withdraw " + c.version();
        } else if (command instanceof ControlCommand.DrainEndpoint c) {
            content = "drain " + c.group() + " " + c.endpoint() + " " + c.drained();
        } else if (command instanceof ControlCommand.RemoveProxy c) {
            content = "remove " + c.proxy();
        } else if (command instanceof ControlCommand.ReplaceEndpoint c) {
            content = "replace " + c.group() + " " + c.replaced() + " " + c.info();
        } else if (command instanceof ControlCommand.AddTokenKey c) {
            content = "key " + c.key().id() + " " + c.key().secretBase64();
        } else {
            throw new IllegalArgumentException(
                    "unsupported command type: " + command.getClass().getName());
        }
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(content.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform must provide SHA-256", e);
        }
    }
}
