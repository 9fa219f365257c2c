package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/** Guards against a proxy that uses a different share than the one that the leader reserved. */
class ShareDeltaTest {
    private final Map<String, Map<EndpointKey, Share>> granted = new HashMap<>();
    private final Map<String, Map<EndpointKey, Share>> newest = new HashMap<>();
    private int compared;

    private static String answer(SimulatedProxy proxy, long term, long sequence) {
        return proxy.name + "/" + proxy.incarnation + "/" + term + "/" + sequence;
    }

    /**
     * Records the shares of all answers, including lost ones, which together contain each change of
     * a share.
     */
    private void recordGranted(ControlFixture fixture) {
        for (ControlUpdate update : fixture.updates) {
            SimulatedProxy proxy = fixture.proxies.get(update.proxy());
            if (update.requestsComplete() || update.proxyIncarnation() != proxy.incarnation) {
                continue;
            }
            Map<EndpointKey, Share> shares = new HashMap<>();
            if (proxy.changes.isDelta(update.reportSequence())) {
                shares.putAll(newest.get(proxy.name));
            }
            update.shares().forEach(s -> shares.put(new EndpointKey(s.group(), s.endpoint()), s));
            newest.put(proxy.name, shares);
            granted.put(answer(proxy, update.leaderTerm(), update.reportSequence()), shares);
        }
        fixture.updates.clear();
    }

    private void check(ControlFixture fixture) {
        for (SimulatedProxy proxy : fixture.proxies.values()) {
            ProxyReport.Acknowledged applied = proxy.shares.acknowledged();
            if (applied.sequence() > 0) {
                assertThat(proxy.shares.shares())
                        .isEqualTo(
                                granted.get(
                                        answer(proxy, applied.leaderTerm(), applied.sequence())));
                compared++;
            }
        }
    }

    private static void injectFault(ControlFixture fixture, Random random) {
        SimulatedProxy proxy = fixture.proxies.get("p" + random.nextInt(fixture.proxies.size()));
        switch (random.nextInt(12)) {
            case 0 -> fixture.newLeader();
            case 1 -> proxy.restart();
            case 2 -> proxy.partitioned = !proxy.partitioned;
            default ->
                    proxy.wanted.put(fixture.at("e" + random.nextInt(3)).key(), random.nextInt(40));
        }
    }

    /** Simulates lost and reordered answers, new leaders, restarts and partitions. */
    @Property(tries = 25, seed = "43")
    void aProxyHasTheSharesOfTheAnswerThatItApplied(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        granted.clear();
        newest.clear();
        ControlFixture fixture = new ControlFixture(seed).standard(4);
        fixture.answerDelay = () -> random.nextInt(6) == 0 ? -1 : (1 + random.nextInt(600)) * MS;
        for (int step = 0; step < 10_000; step++) {
            if (random.nextInt(100) == 0) {
                injectFault(fixture, random);
            }
            fixture.run(1);
            recordGranted(fixture);
            check(fixture);
        }
        assertThat(compared).isPositive();
    }

    /** The lease must end at the proxy before it ends at the leader. */
    @Test
    void anAnswerWithoutChangesRenewsTheLeaseFromTheSendingOfItsReport() {
        ControlFixture fixture = new ControlFixture(3).standard(1);
        fixture.run(5_000);
        SimulatedProxy proxy = fixture.proxies.get("p0");
        fixture.updates.clear();
        fixture.run(250);
        ControlUpdate update = fixture.updates.get(0);
        assertThat(update.shares()).isEmpty();
        assertThat(update.tokenKeys()).isEmpty();
        assertThat(proxy.shares.deadline())
                .isEqualTo(update.reportSentAt() + ShareAllocator.LEASE_NANOS);
        proxy.partitioned = true;
        long end = proxy.shares.deadline();
        EndpointKey key = fixture.at("e0").key();
        assertThat(proxy.shares.connections(key, end - 1)).isGreaterThan(1);
        assertThat(proxy.shares.connections(key, end)).isEqualTo(1);
    }

    /** The sequences of the replaced process are higher than every base of the new process. */
    @Test
    void anUnchangedShareOfARestartedProxyIsSentOnce() {
        ProxyShareState state = new ProxyShareState();
        EndpointObservation observation = new EndpointObservation("fleet", "e0", 0, 1, 1, 0, 0, 1);
        Share share = new Share("fleet", "e0", 1, 1, 0);
        state.report(report(1, 400, observation), observation, 1, 0);
        state.recordSent(share, 400);
        state.report(report(2, 1, observation), observation, 1, 250 * MS);
        state.recordSent(share, 1);
        assertThat(state.changedAfter(0)).isTrue();
        assertThat(state.changedAfter(1)).isFalse();
    }

    private static ProxyReport report(
            long incarnation, long sequence, EndpointObservation observation) {
        return new ProxyReport(
                "p0", incarnation, "Colina", sequence, 0, 0, false, 0, List.of(observation));
    }

    /** A share of an endpoint that left its group must not be extended by a renewed lease. */
    @Test
    void theAnswerToACompleteReportReplacesAllShares() {
        ProxyShares shares = new ProxyShares(1);
        Share old = new Share("fleet", "e0", 1, 4, 1);
        Share other = new Share("fleet", "e1", 1, 4, 1);
        shares.apply(update(1, old), false);
        shares.apply(update(2, other), true);
        assertThat(shares.shares().values()).containsExactlyInAnyOrder(old, other);
        shares.apply(update(3, other), false);
        assertThat(shares.shares().values()).containsExactly(other);
    }

    private static ControlUpdate update(long sequence, Share share) {
        return new ControlUpdate(
                "p0",
                1,
                sequence,
                sequence * 250 * MS,
                2_000,
                3_000,
                Option.none(),
                Option.none(),
                List.of(),
                List.of(share),
                List.of(),
                1,
                0);
    }
}
