package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.CommandResult.Outcome;

/**
 * Guards against reuse of terms after a restore and against rules that a restore reverts silently.
 */
class RestoredStateTest {
    private static final long FLOOR = 1_700_000_000_000L;
    private static final Set<RuleScope> SCOPES = Set.of(new RuleScope("fleet", "c/"));

    private static ControlState after(ControlState start, ControlCommand... commands) {
        ControlState state = start;
        for (ControlCommand command : commands) {
            state = state.apply(command)._1;
        }
        return state;
    }

    private static ControlState backup() {
        return after(
                ControlState.EMPTY,
                new ControlCommand.RegisterGroup("fleet", 3),
                new ControlCommand.BeginPromotion("fleet", 7, "first"),
                new ControlCommand.ApplyRules("op-1", 0, "first", Set.of(), "ana", 3),
                new ControlCommand.ApplyRules("op-2", 1, "second", Set.of(), "eva", 4),
                new ControlCommand.RulesInForce(2, 5),
                new ControlCommand.PrepareRules("op-3", 2, "wider", SCOPES, "ana", 6));
    }

    private static ControlState restored() {
        return RestoredState.of(backup(), FLOOR).get();
    }

    private static CommandResult result(ControlState state, ControlCommand command) {
        return state.apply(command)._2;
    }

    private static ControlCommand apply(String id, long expected) {
        return new ControlCommand.ApplyRules(id, expected, "text", Set.of(), "ana", 9);
    }

    @Test
    void noTermUpToTheFloorIsBegunAgain() {
        GroupState group = restored().groups().get("fleet").get();
        assertThat(group.begunTerm()).isEqualTo(FLOOR);
        assertThat(group.promoting()).as("the new leader fences first").isTrue();
        assertThat(result(restored(), new ControlCommand.BeginPromotion("fleet", 8, "")).outcome())
                .isEqualTo(Outcome.REFUSED);
    }

    /** The group may have been registered and may have used terms after the backup. */
    @Test
    void aGroupThatTheBackupDoesNotKnowStartsAtTheFloor() {
        ControlState state = after(restored(), new ControlCommand.RegisterGroup("late", 3));
        assertThat(state.groups().get("late").get().begunTerm()).isEqualTo(FLOOR);
        assertThat(state.groups().get("late").get().promoting()).isTrue();
    }

    /**
     * A retry of an operation that is not in the backup must not be applied without the knowledge
     * of the operator.
     */
    @Test
    void aFileMustExpectTheRestoredVersion() {
        CommandResult stale = result(restored(), apply("op-4", 2));
        assertThat(stale.outcome()).isEqualTo(Outcome.CONFLICT);
        assertThat(stale.message()).contains("restore was first with version " + FLOOR);
        CommandResult confirmed = result(restored(), apply("op-5", FLOOR));
        assertThat(confirmed.outcome()).isEqualTo(Outcome.ACCEPTED);
        assertThat(confirmed.value()).isEqualTo(FLOOR + 1);
    }

    @Test
    void theRestoredVersionIsNeverInForce() {
        assertThat(restored().rules().awaitsConfirmation()).isTrue();
        assertThat(result(restored(), new ControlCommand.RulesInForce(FLOOR, 9)).outcome())
                .isEqualTo(Outcome.REFUSED);
        ControlState confirmed =
                after(
                        restored(),
                        apply("op-5", FLOOR),
                        new ControlCommand.RulesInForce(FLOOR + 1, 9));
        assertThat(confirmed.rules().awaitsConfirmation()).isFalse();
        assertThat(confirmed.rules().inForce()).isEqualTo(FLOOR + 1);
        assertThat(confirmed.rules().accepted().get(FLOOR).get().inForceMillis())
                .isEqualTo(RuleHistory.RESTORED);
        assertThat(confirmed.rules().restoreFloor()).isEqualTo(FLOOR);
    }

    @Test
    void historyOperationsAndKeysAreKeptAndThePendingFileIsDropped() {
        ControlState state = restored();
        assertThat(state.rules().accepted().keySet().toJavaList()).containsExactly(1L, 2L, FLOOR);
        assertThat(state.rules().current().get().text().get()).isEqualTo("second");
        assertThat(state.rules().pending()).isEmpty();
        assertThat(state.operations()).isEqualTo(backup().operations());
        assertThat(ControlStateCodec.decodeSnapshot(ControlStateCodec.encodeSnapshot(state)).get())
                .isEqualTo(state);
    }

    /**
     * A second restore of the same backup must not assign the numbers of the first restore again.
     */
    @Test
    void aSecondRestoreNeedsAHigherFloor() {
        ControlState used = after(restored(), apply("op-5", FLOOR));
        assertThat(RestoredState.of(used, FLOOR + 1).getLeft()).contains("correct the clock");
        assertThat(RestoredState.of(used, FLOOR + 2).isRight()).isTrue();
    }

    /**
     * A proxy that restarted after the backup must not get the rules of the backup. Other proxies
     * must block scoped records until an operator has applied the newest file.
     */
    @Test
    void noProxyGetsRulesOrALeaseBeforeTheConfirmation() {
        ControlFixture fixture = new ControlFixture(5).standard(3);
        fixture.run(3_000);
        fixture.operator(new OperatorRequest.Apply(fixture.operation("op-1"), 0, "allow x"));
        fixture.run(3_000);
        assertThat(fixture.state.rules().inForce()).isEqualTo(1);
        fixture.state = RestoredState.of(fixture.state, FLOOR).get();
        fixture.proxies.get("p1").rulesVersion = -1;
        fixture.newLeader();
        fixture.updates.clear();
        fixture.run(5_000);
        assertThat(fixture.updates)
                .isNotEmpty()
                .allMatch(u -> u.rulesLeaseMillis() == 0 && u.rules().isEmpty());
        assertThat(fixture.state.rules().inForce()).isEqualTo(1);
        assertThat(fixture.group().term()).as("promoted anew").isEqualTo(FLOOR);

        // Wider scopes are prepared by all proxies, including the one without rules.
        fixture.operator(
                new OperatorRequest.Apply(fixture.operation("op-2"), FLOOR, "scope fleet cust/"));
        fixture.run(5_000);
        assertThat(fixture.state.rules().inForce()).isEqualTo(FLOOR + 1);
        assertThat(fixture.proxies.values()).allMatch(p -> p.rulesVersion == FLOOR + 1);
        assertThat(List.copyOf(fixture.core.dump().waitingFor())).isEmpty();
    }

    /** A clock that was ahead in the past may have led to a promise above the floor. */
    @Test
    void theNextTermIsAboveAPromiseThatExceedsTheFloor() {
        ControlFixture fixture = new ControlFixture(5).standard(3);
        fixture.run(3_000);
        fixture.state = RestoredState.of(fixture.state, FLOOR).get();
        fixture.at("e1").promised = FLOOR + 9;
        fixture.at("e2").promised = FLOOR + 9;
        fixture.newLeader();
        fixture.run(5_000);
        assertThat(fixture.group().term()).isEqualTo(FLOOR + 10);
        assertThat(fixture.group().promoting()).isFalse();
    }
}
