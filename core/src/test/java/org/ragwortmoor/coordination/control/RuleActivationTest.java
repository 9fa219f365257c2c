package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.CommandResult.Outcome;

/** Guards against a version that is declared in force while a proxy may still apply older rules. */
class RuleActivationTest {
    private final ControlFixture fixture = new ControlFixture(5).standard(4);

    @BeforeEach
    void start() {
        fixture.run(4_000);
    }

    private void apply(String id, long expected, String text) {
        fixture.operator(new OperatorRequest.Apply(fixture.operation(id), expected, text));
    }

    /**
     * The lease must have ended on the clock of the proxy when the version is declared in force.
     */
    @Test
    void aPartitionedProxyDelaysAVersionUntilItsLeaseEnded() {
        SimulatedProxy proxy = fixture.proxies.get("p1");
        proxy.partitioned = true;
        apply("op-1", 0, "allow x");
        long applied = fixture.now;
        while (fixture.state.rules().inForce() < 1) {
            fixture.run(5);
            if (fixture.state.rules().inForce() == 1) {
                assertThat(proxy.rulesUntil).isLessThanOrEqualTo(fixture.now);
            }
        }
        assertThat((fixture.now - applied) / ControlFixture.MS).isBetween(1_500L, 3_000L);
        assertThat(proxy.rulesVersion).isZero();
    }

    /** An earlier leader may have granted a rules lease just before it failed. */
    @Test
    void aNewLeaderWaitsForLeasesItDoesNotKnow() {
        SimulatedProxy proxy = fixture.proxies.get("p1");
        fixture.run(100);
        proxy.partitioned = true;
        fixture.newLeader();
        apply("op-1", 0, "allow x");
        fixture.run(1_900);
        assertThat(fixture.state.rules().inForce()).isZero();
        assertThat(fixture.core.dump().notInForceOn()).containsExactly("p1");
        fixture.run(300);
        assertThat(fixture.state.rules().inForce()).isEqualTo(1);
    }

    @Test
    void widerScopesWaitForEveryMemberUntilAnOperatorRemovesAStoppedOne() {
        fixture.proxies.get("p1").alive = false;
        apply("op-1", 0, "scope fleet cust/");
        fixture.run(5_000);
        OperatorAnswer pending = fixture.answers.get(0);
        assertThat(pending.result().outcome()).isEqualTo(Outcome.PENDING);
        assertThat(pending.waitingFor()).contains("p0", "p1");
        assertThat(fixture.core.dump().waitingFor()).containsExactly("p1");
        assertThat(fixture.state.rules().version()).isZero();

        fixture.operator(new OperatorRequest.RemoveMember(fixture.operation("op-2"), "p1"));
        fixture.run(3_000);
        assertThat(fixture.state.rules().version()).isEqualTo(1);
        assertThat(fixture.state.rules().inForce()).isEqualTo(1);
    }

    /** Otherwise one stopped proxy could delay the revocation of a partner's access. */
    @Test
    void filesThatDoNotWidenTheScopesNeverWait() {
        apply("op-1", 0, "scope fleet cust/");
        fixture.run(1_000);
        fixture.proxies.get("p1").alive = false;
        apply("op-2", 1, "scope fleet cust/7/");
        fixture.run(3_000);
        assertThat(fixture.state.rules().inForce()).isEqualTo(2);
    }

    /** Wider scopes do not wait for a proxy that is not a member, so it must not get a lease. */
    @Test
    void aProxyGetsItsLeaseOnlyAsAMember() {
        fixture.proxy("p9", "Lampa");
        fixture.updates.clear();
        fixture.run(1_500);
        assertThat(fixture.updates.stream().filter(u -> u.proxy().equals("p9")).findFirst().get())
                .matches(u -> u.rulesLeaseMillis() == 0 && u.shares().isEmpty());
        assertThat(fixture.proxies.get("p9").rulesUntil).isGreaterThan(fixture.now);
    }
}
