package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the membership of proxies and endpoints, on which majorities, floors and scope preparation
 * depend.
 */
class MembershipAndDirectoryTest {
    private final ControlFixture fixture = new ControlFixture(9).standard(4);

    @BeforeEach
    void start() {
        fixture.run(4_000);
    }

    private boolean member(String proxy) {
        return fixture.state.members().containsKey(proxy);
    }

    @Test
    void aSilentMemberIsRemovedAfterTenMinutes() {
        fixture.proxies.get("p1").alive = false;
        fixture.run(600_000);
        assertThat(member("p1")).isTrue();
        fixture.run(12_000);
        assertThat(member("p1")).isFalse();
    }

    /**
     * A proxy that is partitioned only from the control processes keeps using its floors, so it
     * must stay a member.
     */
    @Test
    void aSilentMemberStaysWhileItsConnectionsAreCounted() {
        fixture.proxies.get("p1").alive = false;
        EndpointKey key = fixture.at("e0").key();
        fixture.every(
                100 * ControlFixture.MS,
                0,
                () ->
                        fixture.at("e0").connections =
                                1
                                        + fixture.proxies.values().stream()
                                                .filter(p -> p.alive)
                                                .mapToInt(p -> p.held.getOrDefault(key, 0))
                                                .sum());
        fixture.run(700_000);
        assertThat(member("p1")).isTrue();
    }

    @Test
    void aStoppedProxyIsRemovedAndCannotJoinWhileStopping() {
        SimulatedProxy proxy = fixture.proxies.get("p1");
        proxy.stopping = true;
        proxy.groups.clear();
        fixture.run(300);
        proxy.alive = false;
        fixture.run(4_000);
        assertThat(member("p1")).isFalse();
        proxy.alive = true;
        fixture.run(1_000);
        assertThat(member("p1")).isFalse();
    }

    /**
     * An endpoint that lost its data must neither be promoted again nor count as a member that
     * holds the log.
     */
    @Test
    void aPrimaryThatLostItsDataIsReplacedAndReadmittedOnceItHoldsTheLog() {
        SimulatedEndpoint old = fixture.primary();
        old.loseData();
        fixture.run(1_500);
        assertThat(fixture.primary()).isNotSameAs(old);
        assertThat(fixture.group().reason()).contains("restarted without its data");
        assertThat(old.promoted).containsExactly(1L);
        assertThat(registered(old)).isEqualTo(1);
        fixture.run(4_000);
        assertThat(registered(old)).isEqualTo(2);
        assertThat(old.last()).isEqualTo(fixture.primary().last());
    }

    /** If an empty log counted as the second promise, an acknowledged write could be lost. */
    @Test
    void theGroupWaitsWhileAMajorityWouldRequireAnEmptyIncarnation() {
        SimulatedEndpoint primary = fixture.primary();
        SimulatedEndpoint emptied =
                fixture.endpoints.values().stream().filter(e -> e != primary).findFirst().get();
        primary.alive = false;
        emptied.loseData();
        fixture.run(10_000);
        assertThat(fixture.group().promoting()).isTrue();
        assertThat(fixture.core.dump().groups().get(0).waiting())
                .contains("waits for 2 promises, has 1");
        primary.alive = true;
        fixture.run(5_000);
        assertThat(fixture.group().promoting()).isFalse();
    }

    private long registered(SimulatedEndpoint endpoint) {
        return fixture.group().endpoints().get(endpoint.name).get().info().incarnation();
    }

    @Test
    void aFourthEndpointIsReportedAsUncounted() {
        SimulatedEndpoint fourth = fixture.endpoint("fleet", "e9", "Lampa");
        fixture.run(2_000);
        assertThat(fixture.group().endpoints().size()).isEqualTo(3);
        assertThat(fixture.core.dump().uncounted().get(fourth.key())).contains("replace");
    }

    /** An endpoint that promised a higher term must not be excluded from the group permanently. */
    @Test
    void theNextTermIsAboveTheHighestPromise() {
        SimulatedEndpoint replica =
                fixture.endpoints.values().stream().filter(e -> !e.primary).findFirst().get();
        replica.promised = 7;
        fixture.run(3_000);
        assertThat(fixture.group().term()).isEqualTo(8);
        assertThat(fixture.endpoints.values()).allMatch(e -> e.promised == 8);
    }

    @Test
    void anEndpointWithALowerPromiseIsFencedBeforeItFollows() {
        SimulatedEndpoint old = fixture.primary();
        fixture.link = (endpoint, from) -> !endpoint.equals(old.key());
        fixture.run(2_000);
        assertThat(fixture.group().term()).isEqualTo(2);
        assertThat(old.primary).isTrue();
        fixture.link = (endpoint, from) -> true;
        fixture.run(1_500);
        assertThat(old.primary).isFalse();
        assertThat(old.promised).isEqualTo(2);
        assertThat(old.last()).isEqualTo(fixture.primary().last());
    }
}
