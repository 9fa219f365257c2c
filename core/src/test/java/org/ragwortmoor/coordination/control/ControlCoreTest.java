package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.CommandResult.Outcome;
import org.ragwortmoor.coordination.control.OperatorAnswer.Kind;

/** Tests the path from announcements and reports to decisions and answers. */
class ControlCoreTest {
    private final ControlFixture fixture = new ControlFixture(1).standard(7);

    @Test
    void aGroupGetsItsFirstPrimaryAndProxiesTheirFloors() {
        fixture.run(3_000);

        assertThat(fixture.group().term()).isEqualTo(1);
        assertThat(fixture.primary().primary).isTrue();
        assertThat(fixture.endpoints.values()).allMatch(e -> e.last().term() == 1);
        assertThat(fixture.state.members().values()).allMatch(MemberProxy::floorGranted);
        for (SimulatedProxy proxy : fixture.proxies.values()) {
            assertThat(proxy.groups.get("fleet").primary()).isEqualTo(fixture.group().primary());
            assertThat(proxy.shares.connections(fixture.primary().key(), fixture.now)).isPositive();
            assertThat(proxy.shares.connections(fixture.primary().key(), Long.MAX_VALUE))
                    .isEqualTo(1);
        }
    }

    /**
     * Tests that the new primary is promoted only in the decided term and that the returning
     * primary follows it.
     */
    @Test
    void aFailedPrimaryIsReplacedWithinTwoSecondsAndFollowsAfterItsReturn() {
        fixture.run(3_000);
        SimulatedEndpoint old = fixture.primary();
        old.alive = false;
        fixture.run(1_500);

        assertThat(fixture.group().term()).isEqualTo(2);
        assertThat(fixture.primary()).isNotSameAs(old);
        assertThat(fixture.primary().promoted).containsExactly(2L);
        assertThat(fixture.group().reason()).contains("reporters").contains("saw no answer");

        old.alive = true;
        fixture.run(2_000);
        assertThat(old.primary).isFalse();
        assertThat(old.last()).isEqualTo(fixture.primary().last());
        assertThat(fixture.group().term()).isEqualTo(2);
    }

    @Test
    void rulesAreAcceptedAndInForceEverywhereWithinThreeSeconds() {
        fixture.run(3_000);
        fixture.operator(new OperatorRequest.Apply(fixture.operation("op-1"), 0, "allow x"));
        fixture.run(10);
        assertThat(fixture.answers)
                .singleElement()
                .satisfies(
                        a -> {
                            assertThat(a.kind()).isEqualTo(Kind.DECIDED);
                            assertThat(a.result().outcome()).isEqualTo(Outcome.ACCEPTED);
                            assertThat(a.result().value()).isEqualTo(1);
                        });
        fixture.run(2_990);
        assertThat(fixture.state.rules().inForce()).isEqualTo(1);
        assertThat(fixture.proxies.values()).allMatch(p -> p.rulesVersion == 1);
    }

    /**
     * A leader without a valid lease may have been replaced; its answers would extend leases
     * incorrectly.
     */
    @Test
    void reportsAreNotAnsweredWhileTheLeaderIsNotReady() {
        fixture.run(3_000);
        fixture.feed(new ControlEvent.ReadyChanged(false));
        fixture.updates.clear();
        fixture.run(1_000);
        assertThat(fixture.updates).isEmpty();
        fixture.operator(new OperatorRequest.RemoveMember(fixture.operation("op-2"), "p0"));
        assertThat(fixture.answers).singleElement().matches(a -> a.kind() == Kind.NOT_READY);
    }

    /**
     * Tests the planned switchover, and that proxies learn within 3 s that an endpoint is leaving.
     */
    @Test
    void aLeavingPrimaryIsSwitchedAndShownAsLeaving() {
        fixture.run(3_000);
        SimulatedEndpoint old = fixture.primary();
        old.leaving = true;
        fixture.run(1_500);
        assertThat(fixture.primary()).isNotSameAs(old);
        assertThat(fixture.group().reason()).isEqualTo("primary " + old.name + " is leaving");
        assertThat(fixture.proxies.values())
                .allMatch(p -> p.groups.get("fleet").endpoint(old.name).get().leaving());
        fixture.run(5_000);
        assertThat(fixture.group().term()).isEqualTo(2);
    }

    /**
     * Guards against a planned switchover that is delayed by the backoff of earlier failures.
     * Proxies send no new work to a leaving primary, so each second of delay extends the write gap.
     */
    @Test
    void aLeavingPrimaryIsSwitchedSoonAfterSeveralFailures() {
        fixture.run(3_000);
        for (int failures = 0; failures < 3; failures++) {
            SimulatedEndpoint failed = fixture.primary();
            failed.alive = false;
            for (int step = 0; step < 100 && fixture.primary() == failed; step++) {
                fixture.run(100);
            }
            assertThat(fixture.primary()).isNotSameAs(failed);
            failed.alive = true;
        }
        fixture.run(1_000);
        SimulatedEndpoint old = fixture.primary();
        old.leaving = true;
        fixture.run(2_000);
        assertThat(fixture.primary()).isNotSameAs(old);
        assertThat(fixture.group().reason()).isEqualTo("primary " + old.name + " is leaving");
    }

    /**
     * Guards against a group that accepts no writes because its primary answers the proxies but
     * neither its replicas nor the control processes.
     */
    @Test
    void aPrimaryReachableOnlyByProxiesIsReplacedWithinTheWriteGap() {
        fixture.run(3_000);
        SimulatedEndpoint old = fixture.primary();
        fixture.link = (endpoint, from) -> !endpoint.equals(old.key()) || from.startsWith("p");
        fixture.run(2_000);
        assertThat(fixture.primary()).isNotSameAs(old);
        assertThat(fixture.group().reason()).contains("answered no fetch of");
    }

    /**
     * The control processes receive announcements of the primary; only the links within the group
     * are cut.
     */
    @Test
    void aPrimaryIsolatedFromItsReplicasIsReplacedWithinTheWriteGap() {
        fixture.run(3_000);
        SimulatedEndpoint old = fixture.primary();
        fixture.link = (endpoint, from) -> !endpoint.equals(old.key()) || !from.startsWith("e");
        fixture.run(2_000);
        assertThat(fixture.primary()).isNotSameAs(old);
    }

    /**
     * The primary and the other replica can still confirm writes; a promotion would cause an
     * unnecessary write gap.
     */
    @Test
    void oneIsolatedReplicaCausesNoPromotion() {
        fixture.run(3_000);
        SimulatedEndpoint old = fixture.primary();
        String replica = old.name.equals("e0") ? "e1" : "e0";
        fixture.link = (endpoint, from) -> !endpoint.equals(old.key()) || !from.equals(replica);
        fixture.run(20_000);
        assertThat(fixture.primary()).isSameAs(old);
        assertThat(fixture.group().term()).isEqualTo(1);
    }

    /**
     * Unchanged groups must not use bandwidth: a node has a budget of 2 KB/s for control traffic.
     */
    @Test
    void groupsAreSentOnlyWhenChanged() {
        fixture.run(6_000);
        fixture.updates.clear();
        fixture.run(1_000);
        assertThat(fixture.updates).hasSize(28).allMatch(u -> u.groups().isEmpty());
        fixture.at("e0").leaving = true;
        fixture.run(1_000);
        assertThat(fixture.updates.stream().filter(u -> !u.groups().isEmpty()).count())
                .isBetween(7L, 14L);
    }

    @Test
    void aFollowerHasNoDeadlineAndProposesNothing() {
        fixture.feed(new ControlEvent.LostLeadership());
        assertThat(fixture.core.nextDeadline()).isEqualTo(Long.MAX_VALUE);
        fixture.run(1_000);
        assertThat(fixture.log).isEmpty();
    }
}
