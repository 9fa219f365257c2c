package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.coordination.control.CommandResult.Outcome;
import org.ragwortmoor.state.EndpointInfo;

/**
 * Tests the transitions of the replicated state machine, which every control process must apply
 * identically.
 */
class ControlStateTest {
    private ControlState state = ControlState.EMPTY;

    private CommandResult apply(ControlCommand command) {
        var applied = state.apply(command);
        state = applied._1;
        return applied._2;
    }

    private static EndpointInfo info(String name, long incarnation) {
        return new EndpointInfo(name, incarnation, "127.0.0.1:1", "Colina", 5, 30, false);
    }

    private static ControlCommand.ApplyRules rules(String id, long expected, String... prefixes) {
        Set<RuleScope> scopes = new java.util.TreeSet<>();
        List.of(prefixes).forEach(p -> scopes.add(new RuleScope("fleet", p)));
        return new ControlCommand.ApplyRules(id, expected, "text " + id, scopes, "ana", 5);
    }

    private static ControlCommand.PrepareRules prepare(String id, long expected, String prefix) {
        return new ControlCommand.PrepareRules(
                id, expected, "text " + id, Set.of(new RuleScope("fleet", prefix)), "ana", 5);
    }

    private void group() {
        apply(new ControlCommand.RegisterGroup("fleet", 3));
        for (String name : List.of("a", "b", "c")) {
            apply(new ControlCommand.RegisterEndpoint("fleet", info(name, 1)));
        }
    }

    /**
     * With a fourth endpoint, two majorities of the configured size would no longer have to
     * intersect.
     */
    @Test
    void aGroupNeverGrowsBeyondItsConfiguredSize() {
        group();
        CommandResult fourth = apply(new ControlCommand.RegisterEndpoint("fleet", info("d", 1)));
        assertThat(fourth.outcome()).isEqualTo(Outcome.REFUSED);
        assertThat(apply(new ControlCommand.RegisterGroup("fleet", 5)).outcome())
                .isEqualTo(Outcome.REFUSED);
        assertThat(apply(new ControlCommand.RegisterEndpoint("fleet", info("a", 2))).outcome())
                .isEqualTo(Outcome.REFUSED);
        assertThat(state.groups().get("fleet").get().endpoints().size()).isEqualTo(3);
    }

    /** Two primaries in one term could both acknowledge writes. */
    @ParameterizedTest
    @CsvSource({
        // completed term, primary, outcome
        "1, a, REFUSED",
        "2, a, ACCEPTED",
        "3, a, REFUSED",
        "2, d, REFUSED",
    })
    void onlyTheNewestBegunTermIsCompleted(long term, String primary, Outcome expected) {
        group();
        apply(new ControlCommand.BeginPromotion("fleet", 1, "first"));
        apply(new ControlCommand.BeginPromotion("fleet", 2, "second"));
        assertThat(apply(new ControlCommand.BeginPromotion("fleet", 2, "again")).outcome())
                .isEqualTo(Outcome.REFUSED);
        assertThat(apply(new ControlCommand.CompletePromotion("fleet", term, primary)).outcome())
                .isEqualTo(expected);
        if (expected == Outcome.ACCEPTED) {
            assertThat(apply(new ControlCommand.CompletePromotion("fleet", 2, "b")).outcome())
                    .isEqualTo(Outcome.REFUSED);
            assertThat(state.groups().get("fleet").get().primary()).contains("a");
        }
    }

    @ParameterizedTest
    @CsvSource({
        // endpoint, term in which it was observed to hold the log, promotion in progress, outcome
        "b, 1, false, ACCEPTED",
        "b, 0, false, REFUSED",
        "b, 1, true, REFUSED",
        "a, 1, false, REFUSED",
        "d, 1, false, REFUSED",
    })
    void aNewIncarnationIsReadmittedInItsTermOnly(
            String name, long term, boolean promoting, Outcome expected) {
        group();
        apply(new ControlCommand.BeginPromotion("fleet", 1, "first"));
        apply(new ControlCommand.CompletePromotion("fleet", 1, "a"));
        if (promoting) {
            apply(new ControlCommand.BeginPromotion("fleet", 2, "second"));
        }
        assertThat(
                        apply(new ControlCommand.ReadmitEndpoint("fleet", info(name, 2), term))
                                .outcome())
                .isEqualTo(expected);
    }

    @Test
    void ofTwoOperatorsWithEqualVersionsTheFirstCommittedWins() {
        assertThat(apply(rules("op-1", 0)).value()).isEqualTo(1);
        CommandResult second = apply(rules("op-2", 0));
        assertThat(second.outcome()).isEqualTo(Outcome.CONFLICT);
        assertThat(second.winner()).contains(new CommandResult.Winner("ana", "op-1", 5));
        assertThat(state.rules().version()).isEqualTo(1);
    }

    /** An answer may be lost; the retry must neither apply the file again nor report a conflict. */
    @Test
    void aRetriedOperationReturnsItsFirstResult() {
        CommandResult first = apply(rules("op-1", 0));
        apply(rules("op-2", 1));
        ControlState before = state;
        ControlCommand.ApplyRules later =
                new ControlCommand.ApplyRules("op-1", 0, "text op-1", Set.of(), "ana", 99);
        assertThat(apply(later)).isEqualTo(first);
        assertThat(state).isSameAs(before);
        CommandResult conflict = apply(rules("op-3", 0));
        assertThat(apply(rules("op-3", 0))).isEqualTo(conflict);
    }

    /** Otherwise the answer would be "accepted" for a text that was never applied. */
    @Test
    void anOperationIdCannotBeUsedForAnotherRequest() {
        apply(rules("op-1", 0));
        ControlCommand other =
                new ControlCommand.ApplyRules("op-1", 0, "other text", Set.of(), "ana", 5);
        assertThat(apply(other).outcome()).isEqualTo(Outcome.REFUSED);
    }

    @ParameterizedTest
    @CsvSource({
        // accepted prefix, next prefix, widens
        "cust/, cust/, false",
        "cust/, cust/7/, false",
        "cust/7/, cust/, true",
        "cust/, order/, true",
    })
    void widerScopesMustBePrepared(String accepted, String next, boolean widens) {
        apply(prepare("op-1", 0, accepted));
        apply(new ControlCommand.ActivateRules(1, List.of()));
        assertThat(apply(rules("op-2", 1, next)).outcome())
                .isEqualTo(widens ? Outcome.REFUSED : Outcome.ACCEPTED);
    }

    /** A proxy that joined after the preparation began does not know the wider scopes. */
    @Test
    void pendingRulesAreActivatedOnlyIfEveryMemberPreparedThem() {
        apply(new ControlCommand.MemberProxyJoined("p0", "Colina"));
        assertThat(apply(prepare("op-1", 0, "cust/")).outcome()).isEqualTo(Outcome.PENDING);
        assertThat(apply(rules("op-2", 0)).outcome()).isEqualTo(Outcome.CONFLICT);
        apply(new ControlCommand.MemberProxyJoined("p1", "Colina"));
        assertThat(apply(new ControlCommand.ActivateRules(1, List.of("p0"))).outcome())
                .isEqualTo(Outcome.REFUSED);
        assertThat(state.rules().version()).isZero();
        assertThat(apply(new ControlCommand.ActivateRules(1, List.of("p0", "p1"))).outcome())
                .isEqualTo(Outcome.ACCEPTED);
        assertThat(state.rules().version()).isEqualTo(1);
    }

    /** A proxy that prepared version 1 must not mistake another file for it. */
    @Test
    void theVersionOfAWithdrawnFileIsNotReused() {
        apply(prepare("op-1", 0, "cust/"));
        apply(new ControlCommand.WithdrawRules("op-2", 1, "ana", 6));
        assertThat(apply(rules("op-3", 0)).value()).isEqualTo(2);
        assertThat(apply(rules("op-4", 1)).winner().get().operationId()).isEqualTo("op-3");
    }

    @Test
    void floorNumbersAreUniqueAndStable() {
        for (int i = 0; i < 3; i++) {
            apply(new ControlCommand.MemberProxyJoined("p" + i, "Colina"));
        }
        apply(new ControlCommand.RemoveProxy("op-1", "p1", "ana", 5));
        apply(new ControlCommand.MemberProxyJoined("p3", "Colina"));
        assertThat(state.members().get("p2").get().floorNumber()).isEqualTo(2);
        assertThat(state.members().get("p3").get().floorNumber()).isEqualTo(1);
        assertThat(state.members().get("p3").get().floorGranted()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"a, false, REFUSED", "a, true, ACCEPTED", "b, false, ACCEPTED"})
    void theServingPrimaryIsNotReplaced(String replaced, boolean promoting, Outcome expected) {
        group();
        apply(new ControlCommand.BeginPromotion("fleet", 1, "first"));
        apply(new ControlCommand.CompletePromotion("fleet", 1, "a"));
        if (promoting) {
            apply(new ControlCommand.BeginPromotion("fleet", 2, "second"));
        }
        ControlCommand command =
                new ControlCommand.ReplaceEndpoint(
                        "op-1", "fleet", replaced, info("d", 1), "ana", 5);
        assertThat(apply(command).outcome()).isEqualTo(expected);
        assertThat(state.groups().get("fleet").get().endpoints().size()).isEqualTo(3);
    }

    /** Snapshots must not grow with every operation and text. */
    @Test
    void textsAndResultsAreBounded() {
        for (int i = 0; i < OperationLog.MAX_RESULTS + 10; i++) {
            apply(rules("op-" + i, i));
        }
        assertThat(state.operations().results().size()).isEqualTo(OperationLog.MAX_RESULTS);
        assertThat(state.operations().find("op-9").isEmpty()).isTrue();
        assertThat(state.operations().find("op-10").isDefined()).isTrue();
        assertThat(state.rules().accepted().size()).isEqualTo(OperationLog.MAX_RESULTS + 10);
        assertThat(state.rules().accepted().values().count(e -> e.text().isDefined()))
                .isEqualTo(RuleHistory.MAX_TEXTS);
    }

    @Test
    void theNewestTokenKeyIsFirstAndIdsAreUnique() {
        apply(new ControlCommand.AddTokenKey("op-1", new TokenKey(1, "aa"), "ana", 5));
        apply(new ControlCommand.AddTokenKey("op-2", new TokenKey(2, "bb"), "ana", 5));
        ControlCommand again =
                new ControlCommand.AddTokenKey("op-3", new TokenKey(1, "cc"), "ana", 5);
        assertThat(apply(again).outcome()).isEqualTo(Outcome.REFUSED);
        assertThat(state.tokenKeys().map(TokenKey::id)).containsExactly(2, 1);
    }
}
