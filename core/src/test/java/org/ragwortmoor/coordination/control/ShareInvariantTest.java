package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Tests that the shares never exceed the connection limit of an endpoint. An endpoint at its limit
 * refuses connections, even those of a proxy that holds a share.
 */
class ShareInvariantTest {
    /** Shares that a proxy process may still use after it was replaced by a restart. */
    private record ReplacedProcess(ProxyShares shares) {}

    private final List<ReplacedProcess> replaced = new ArrayList<>();

    @Property(tries = 60, seed = "23")
    void floorsAndLeasesNeverExceedTheLimit(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 12) int proxies,
            @ForAll @IntRange(min = 2, max = 30) int limit) {
        ControlFixture fixture = new ControlFixture(seed).standard(proxies);
        fixture.endpoints.values().forEach(e -> e.limit = limit);
        replaced.clear();
        Random random = new Random(seed);
        for (int step = 0; step < 1_500; step++) {
            if (random.nextInt(15) == 0) {
                injectFault(fixture, random);
            }
            fixture.run(1 + random.nextInt(40));
            check(fixture, limit);
        }
        endFaults(fixture);
        fixture.run(8_000);
        check(fixture, limit);
        checkSharesFollowDemand(fixture, limit, proxies);
    }

    /**
     * Checks that unused connections are assigned to the proxy with demand after the faults ended.
     */
    private static void checkSharesFollowDemand(ControlFixture fixture, int limit, int proxies) {
        int floors = Math.min(ShareAllocator.floors(limit), fixture.state.members().size());
        fixture.proxies
                .values()
                .forEach(p -> fixture.endpoints.keySet().forEach(k -> p.wanted.put(k, 0)));
        SimulatedProxy busy = fixture.proxies.get("p0");
        EndpointKey key = fixture.at("e0").key();
        busy.wanted.put(key, 100);
        fixture.run(4_500);
        int share = busy.shares.connections(key, fixture.now);
        assertThat(share).isGreaterThanOrEqualTo(limit - floors - proxies);
        assertThat(share).isPositive();
    }

    private void check(ControlFixture fixture, int limit) {
        for (SimulatedEndpoint endpoint : fixture.endpoints.values()) {
            int connections = 0;
            int permits = 0;
            for (SimulatedProxy proxy : fixture.proxies.values()) {
                connections += proxy.shares.connections(endpoint.key(), fixture.now);
                permits += proxy.shares.longPermits(endpoint.key(), fixture.now);
            }
            for (ReplacedProcess old : replaced) {
                // The new process gets the floor immediately; the lease of the replaced process is
                // still valid.
                connections += old.shares().connections(endpoint.key(), fixture.now);
                connections -= old.shares().connections(endpoint.key(), Long.MAX_VALUE);
            }
            assertThat(connections).isLessThanOrEqualTo(limit);
            assertThat(permits).isLessThanOrEqualTo(4);
        }
    }

    private void injectFault(ControlFixture fixture, Random random) {
        SimulatedProxy proxy = fixture.proxies.get("p" + random.nextInt(fixture.proxies.size()));
        EndpointKey key = fixture.at("e" + random.nextInt(3)).key();
        switch (random.nextInt(11)) {
            case 0 -> proxy.partitioned = true;
            case 1 -> proxy.alive = false;
            case 2 -> proxy.paused = true;
            case 3 -> {
                replaced.add(new ReplacedProcess(proxy.shares));
                proxy.restart();
            }
            case 4 -> fixture.newLeader();
            case 5 -> duplicateAndDelay(fixture, proxy, random);
            case 6 -> dropUpdates(fixture, proxy);
            case 7 -> fixture.networkDelay = (1 + random.nextInt(400)) * MS;
            case 8, 9 -> proxy.wanted.put(key, random.nextInt(60));
            default -> endFaults(fixture);
        }
    }

    /** Delivers a report twice and late, which must not renew a share. */
    private static void duplicateAndDelay(
            ControlFixture fixture, SimulatedProxy proxy, Random random) {
        if (!proxy.alive || proxy.paused) {
            return;
        }
        ProxyReport report = proxy.report(fixture.now);
        for (int i = 0; i < 2; i++) {
            fixture.at(
                    random.nextInt(2_000) * MS,
                    () -> fixture.feed(new ControlEvent.ReportReceived(report)));
        }
    }

    /** Drops the answers of the leader for some time, although it granted shares. */
    private static void dropUpdates(ControlFixture fixture, SimulatedProxy proxy) {
        if (proxy.alive && !proxy.paused) {
            ProxyReport report = proxy.report(fixture.now);
            proxy.partitioned = true;
            fixture.feed(new ControlEvent.ReportReceived(report));
            fixture.at(400 * MS, () -> proxy.partitioned = false);
        }
    }

    private static void endFaults(ControlFixture fixture) {
        fixture.networkDelay = MS;
        for (SimulatedProxy proxy : fixture.proxies.values()) {
            proxy.alive = true;
            proxy.partitioned = false;
            proxy.paused = false;
        }
    }
}
