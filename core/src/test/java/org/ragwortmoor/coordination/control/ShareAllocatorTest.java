package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import org.junit.jupiter.api.Test;

/** Guards connections against lying idle at one proxy while callers wait at another. */
class ShareAllocatorTest {
    private static int share(ControlFixture fixture, String proxy) {
        return fixture.proxies.get(proxy).shares.connections(fixture.at("e0").key(), fixture.now);
    }

    private static void want(ControlFixture fixture, String proxy, int connections) {
        fixture.proxies.get(proxy).wanted.put(fixture.at("e0").key(), connections);
    }

    @Test
    void sharesMoveToDemandWithinASecondAndFixedOnesDoNot() {
        for (SharePolicy rule : new SharePolicy[] {new FairSharePolicy(), new EqualSharePolicy()}) {
            ControlFixture fixture =
                    new ControlFixture(2, ControlCore.FailureDetectorType.REPORTERS, rule)
                            .standard(7);
            fixture.run(4_000);
            assertThat(share(fixture, "p0")).isBetween(4, 5);
            want(fixture, "p0", 40);
            fixture.run(1_250);
            if (rule instanceof FairSharePolicy) {
                assertThat(share(fixture, "p0")).isGreaterThanOrEqualTo(23);
            } else {
                assertThat(share(fixture, "p0")).isBetween(4, 5);
            }
        }
    }

    /** The silent proxy may use its share until its lease ends; later only its floor. */
    @Test
    void aSilentProxysShareIsFreeAfterItsLeaseAndItsFloorNever() {
        ControlFixture fixture = new ControlFixture(2).standard(2);
        fixture.run(4_000);
        want(fixture, "p0", 40);
        fixture.run(2_000);
        assertThat(share(fixture, "p0")).isEqualTo(29);
        fixture.proxies.get("p0").cutOff = true;
        want(fixture, "p1", 40);
        fixture.run(2_500);
        assertThat(share(fixture, "p1")).isEqualTo(1);
        fixture.run(2_000);
        assertThat(share(fixture, "p1")).isEqualTo(29);
        assertThat(share(fixture, "p0")).isEqualTo(1);
    }

    /** Connections of a stopped VM stay open at the endpoint for a while. */
    @Test
    void anEndedLeaseStaysReservedWhileTheEndpointCountsItsConnections() {
        ControlFixture fixture = new ControlFixture(2).standard(2);
        fixture.run(4_000);
        want(fixture, "p0", 40);
        fixture.run(2_000);
        fixture.proxies.get("p0").alive = false;
        int[] left = {24};
        fixture.every(
                10 * MS, 0, () -> fixture.at("e0").connections = left[0] + share(fixture, "p1"));
        want(fixture, "p1", 40);
        fixture.run(6_000);
        assertThat(share(fixture, "p1")).isLessThanOrEqualTo(30 - 24);
        left[0] = 0;
        fixture.run(2_000);
        assertThat(share(fixture, "p1")).isGreaterThanOrEqualTo(28);
    }

    /** An earlier leader's leases are unknown to its successor. */
    @Test
    void aNewLeaderGrantsOnlyHoldingsForOneLease() {
        ControlFixture fixture = new ControlFixture(2).standard(2);
        fixture.run(4_000);
        want(fixture, "p0", 40);
        fixture.run(2_000);
        fixture.proxies.get("p0").cutOff = true;
        fixture.newLeader();
        want(fixture, "p1", 40);
        fixture.run(2_900);
        assertThat(share(fixture, "p1")).isEqualTo(1);
        fixture.run(1_500);
        assertThat(share(fixture, "p1")).isGreaterThan(20);
    }

    @Test
    void membersBeyondTheFloorsTakeTurns() {
        ControlFixture fixture = new ControlFixture(2).standard(9);
        fixture.endpoints.values().forEach(e -> e.limit = 4);
        int[] served = new int[9];
        fixture.run(4_000);
        for (int second = 0; second < 40; second++) {
            for (int i = 0; i < 9; i++) {
                want(fixture, "p" + i, 3);
                served[i] += share(fixture, "p" + i);
            }
            fixture.run(1_000);
        }
        assertThat(served).doesNotContain(0);
        assertThat(fixture.now).isGreaterThan(40_000 * MS);
    }
}
