package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import org.junit.jupiter.api.Test;

/** Guards against unused connections at one proxy while callers wait at another. */
class ShareAllocatorTest {
    private static int share(ControlFixture fixture, String proxy) {
        return fixture.proxies.get(proxy).shares.connections(fixture.at("e0").key(), fixture.now);
    }

    private static void setDemand(ControlFixture fixture, String proxy, int connections) {
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
            setDemand(fixture, "p0", 40);
            fixture.run(1_250);
            if (rule instanceof FairSharePolicy) {
                assertThat(share(fixture, "p0")).isGreaterThanOrEqualTo(23);
            } else {
                assertThat(share(fixture, "p0")).isBetween(4, 5);
            }
        }
    }

    /** A silent proxy may use its share until its lease ends, and only its floor afterwards. */
    @Test
    void onlyTheShareOfASilentProxyIsReassignedAfterItsLeaseButNotItsFloor() {
        ControlFixture fixture = new ControlFixture(2).standard(2);
        fixture.run(4_000);
        setDemand(fixture, "p0", 40);
        fixture.run(2_000);
        assertThat(share(fixture, "p0")).isEqualTo(29);
        fixture.proxies.get("p0").partitioned = true;
        setDemand(fixture, "p1", 40);
        fixture.run(2_500);
        assertThat(share(fixture, "p1")).isEqualTo(1);
        fixture.run(2_000);
        assertThat(share(fixture, "p1")).isEqualTo(29);
        assertThat(share(fixture, "p0")).isEqualTo(1);
    }

    /** Connections of a stopped VM stay open at the endpoint for some time. */
    @Test
    void anEndedLeaseStaysReservedWhileTheEndpointCountsItsConnections() {
        ControlFixture fixture = new ControlFixture(2).standard(2);
        fixture.run(4_000);
        setDemand(fixture, "p0", 40);
        fixture.run(2_000);
        fixture.proxies.get("p0").alive = false;
        int[] left = {24};
        fixture.every(
                10 * MS, 0, () -> fixture.at("e0").connections = left[0] + share(fixture, "p1"));
        setDemand(fixture, "p1", 40);
        fixture.run(6_000);
        assertThat(share(fixture, "p1")).isLessThanOrEqualTo(30 - 24);
        left[0] = 0;
        fixture.run(2_000);
        assertThat(share(fixture, "p1")).isGreaterThanOrEqualTo(28);
    }

    /** A new leader does not know the leases of its predecessor. */
    @Test
    void aNewLeaderGrantsOnlyReportedConnectionsForOneLease() {
        ControlFixture fixture = new ControlFixture(2).standard(2);
        fixture.run(4_000);
        setDemand(fixture, "p0", 40);
        fixture.run(2_000);
        fixture.proxies.get("p0").partitioned = true;
        fixture.newLeader();
        setDemand(fixture, "p1", 40);
        fixture.run(2_900);
        assertThat(share(fixture, "p1")).isEqualTo(1);
        fixture.run(1_500);
        assertThat(share(fixture, "p1")).isGreaterThan(20);
    }

    @Test
    void membersWithoutAFloorTakeTurns() {
        ControlFixture fixture = new ControlFixture(2).standard(9);
        fixture.endpoints.values().forEach(e -> e.limit = 4);
        int[] served = new int[9];
        fixture.run(4_000);
        for (int second = 0; second < 40; second++) {
            for (int i = 0; i < 9; i++) {
                setDemand(fixture, "p" + i, 3);
                served[i] += share(fixture, "p" + i);
            }
            fixture.run(1_000);
        }
        assertThat(served).doesNotContain(0);
        assertThat(fixture.now).isGreaterThan(40_000 * MS);
    }
}
