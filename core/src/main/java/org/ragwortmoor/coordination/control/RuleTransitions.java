package org.ragwortmoor.coordination.control;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.Set;
import io.vavr.collection.TreeSet;
import io.vavr.control.Option;
import org.ragwortmoor.coordination.control.CommandResult.Winner;

/** State transitions of the commands that concern rule files. */
final class RuleTransitions {
    private RuleTransitions() {}

    static Tuple2<ControlState, CommandResult> apply(
            ControlState state, ControlCommand.ApplyRules c) {
        Option<CommandResult> conflict = conflict(state.rules(), c.expectedVersion());
        if (conflict.isDefined()) {
            return Tuple.of(state, conflict.get());
        }
        if (RuleScope.widens(scopes(state.rules()), c.scopes())) {
            return refused(state, "the file widens the scopes; it must be prepared first");
        }
        RuleHistory.Entry entry =
                entry(
                        state,
                        c.text(),
                        c.scopes(),
                        new Winner(c.operator(), c.operationId(), c.timeMillis()));
        return Tuple.of(
                state.withRules(state.rules().accept(entry)),
                CommandResult.accepted(
                        entry.version(), "version " + entry.version() + " accepted"));
    }

    static Tuple2<ControlState, CommandResult> prepare(
            ControlState state, ControlCommand.PrepareRules c) {
        Option<CommandResult> conflict = conflict(state.rules(), c.expectedVersion());
        if (conflict.isDefined()) {
            return Tuple.of(state, conflict.get());
        }
        RuleHistory.Entry entry =
                entry(
                        state,
                        c.text(),
                        c.scopes(),
                        new Winner(c.operator(), c.operationId(), c.timeMillis()));
        return Tuple.of(
                state.withRules(state.rules().prepare(entry)),
                CommandResult.pending(
                        entry.version(),
                        "version %d waits until every proxy holds its wider scopes back"
                                .formatted(entry.version())));
    }

    /**
     * Activates the pending rules. Checks the members again, because a proxy may have joined after
     * the leader proposed the command.
     */
    static Tuple2<ControlState, CommandResult> activate(
            ControlState state, ControlCommand.ActivateRules c) {
        Option<RuleHistory.Entry> pending = state.rules().pending();
        if (pending.isEmpty() || pending.get().version() != c.version()) {
            return refused(state, "version " + c.version() + " is not pending");
        }
        Set<String> missing = state.members().keySet().removeAll(c.prepared());
        if (!missing.isEmpty()) {
            return refused(
                    state,
                    "version %d is not prepared by %s"
                            .formatted(c.version(), missing.mkString(", ")));
        }
        return Tuple.of(
                state.withRules(state.rules().accept(pending.get())),
                CommandResult.accepted(c.version(), "version " + c.version() + " accepted"));
    }

    static Tuple2<ControlState, CommandResult> withdraw(
            ControlState state, ControlCommand.WithdrawRules c) {
        if (!state.rules().pending().exists(p -> p.version() == c.version())) {
            return refused(state, "version " + c.version() + " is not pending");
        }
        return Tuple.of(
                state.withRules(state.rules().withdraw()),
                CommandResult.accepted(c.version(), "version " + c.version() + " withdrawn"));
    }

    static Tuple2<ControlState, CommandResult> inForce(
            ControlState state, ControlCommand.RulesInForce c) {
        if (c.version() <= state.rules().inForce()) {
            return Tuple.of(state, CommandResult.unchanged("a newer version is in force"));
        }
        if (c.version() > state.rules().version()) {
            return refused(state, "version " + c.version() + " is not accepted");
        }
        if (state.rules().accepted().get(c.version()).exists(RuleHistory.Entry::restored)) {
            return refused(state, "version " + c.version() + " awaits the confirmation of a file");
        }
        return Tuple.of(
                state.withRules(state.rules().markInForce(c.version(), c.timeMillis())),
                CommandResult.accepted(c.version(), "version " + c.version() + " is in force"));
    }

    static Set<RuleScope> scopes(RuleHistory rules) {
        return rules.current().map(RuleHistory.Entry::scopes).getOrElse(TreeSet.empty());
    }

    private static Option<CommandResult> conflict(RuleHistory rules, long expectedVersion) {
        if (expectedVersion > rules.version()) {
            return Option.of(
                    CommandResult.refused(
                            "version %d does not exist; the newest is %d"
                                    .formatted(expectedVersion, rules.version())));
        }
        Option<RuleHistory.Entry> first =
                expectedVersion < rules.version()
                        ? firstAfter(rules, expectedVersion)
                        : rules.pending();
        return first.map(
                winner ->
                        CommandResult.conflict(
                                "%s was first with version %d, operation %s; read it and apply anew"
                                        .formatted(
                                                winner.operator(),
                                                winner.version(),
                                                winner.operationId()),
                                Option.of(winner.winner())));
    }

    /**
     * Returns the first accepted version after {@code version}. Numbers may be missing because of
     * withdrawn files and restores.
     */
    private static Option<RuleHistory.Entry> firstAfter(RuleHistory rules, long version) {
        return rules.accepted()
                .get(version + 1)
                .orElse(() -> rules.accepted().find(e -> e._1 > version).map(e -> e._2));
    }

    private static RuleHistory.Entry entry(
            ControlState state, String text, java.util.Set<RuleScope> scopes, Winner operation) {
        return new RuleHistory.Entry(
                state.rules().lastVersion() + 1,
                Option.of(text),
                TreeSet.ofAll(scopes),
                operation.operator(),
                operation.operationId(),
                operation.timeMillis(),
                0);
    }

    private static Tuple2<ControlState, CommandResult> refused(ControlState state, String message) {
        return Tuple.of(state, CommandResult.refused(message));
    }
}
