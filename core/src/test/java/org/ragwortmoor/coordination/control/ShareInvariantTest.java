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
 * Guards the connection limit of an endpoint: an endpoint over its limit refuses connections, also
 * those of a proxy that was promised them.
 */
class ShareInvariantTest {
    /** What a process may still use that was replaced by a restart of its proxy. */
    private record Replaced(ProxyShares shares) {}

    private final List<Replaced> replaced = new ArrayList<>();

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
                fault(fixture, random);
            }
            fixture.run(1 + random.nextInt(40));
            check(fixture, limit);
        }
        heal(fixture);
        fixture.run(8_000);
        check(fixture, limit);
        movesToDemand(fixture, limit, proxies);
    }

    /** After the faults the unused connections go to the proxy that can use them. */
    private static void movesToDemand(ControlFixture fixture, int limit, int proxies) {
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
            for (Replaced old : replaced) {
                // The floor passes to the new process at once; the old one's lease lasts on.
                connections += old.shares().connections(endpoint.key(), fixture.now);
                connections -= old.shares().connections(endpoint.key(), Long.MAX_VALUE);
            }
            assertThat(connections).isLessThanOrEqualTo(limit);
            assertThat(permits).isLessThanOrEqualTo(4);
        }
    }

    private void fault(ControlFixture fixture, Random random) {
        SimulatedProxy proxy = fixture.proxies.get("p" + random.nextInt(fixture.proxies.size()));
        EndpointKey key = fixture.at("e" + random.nextInt(3)).key();
        switch (random.nextInt(11)) {
            case 0 -> proxy.cutOff = true;
            case 1 -> proxy.alive = false;
            case 2 -> proxy.frozen = true;
            case 3 -> {
                replaced.add(new Replaced(proxy.shares));
                proxy.restart();
            }
            case 4 -> fixture.newLeader();
            case 5 -> duplicateAndDelay(fixture, proxy, random);
            case 6 -> dropUpdates(fixture, proxy);
            case 7 -> fixture.networkDelay = (1 + random.nextInt(400)) * MS;
            case 8, 9 -> proxy.wanted.put(key, random.nextInt(60));
            default -> heal(fixture);
        }
    }

    /** A report that arrives twice and late must not renew a share. */
    private static void duplicateAndDelay(
            ControlFixture fixture, SimulatedProxy proxy, Random random) {
        if (!proxy.alive || proxy.frozen) {
            return;
        }
        ProxyReport report = proxy.report(fixture.now);
        for (int i = 0; i < 2; i++) {
            fixture.at(
                    random.nextInt(2_000) * MS,
                    () -> fixture.feed(new ControlEvent.ReportReceived(report)));
        }
    }

    /** The leader grants, but its answers are lost for a while. */
    private static void dropUpdates(ControlFixture fixture, SimulatedProxy proxy) {
        if (proxy.alive && !proxy.frozen) {
            ProxyReport report = proxy.report(fixture.now);
            proxy.cutOff = true;
            fixture.feed(new ControlEvent.ReportReceived(report));
            fixture.at(400 * MS, () -> proxy.cutOff = false);
        }
    }

    private static void heal(ControlFixture fixture) {
        fixture.networkDelay = MS;
        for (SimulatedProxy proxy : fixture.proxies.values()) {
            proxy.alive = true;
            proxy.cutOff = false;
            proxy.frozen = false;
        }
    }
}
