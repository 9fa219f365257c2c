package org.ragwortmoor.coordination.control;

import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.ragwortmoor.coordination.control.ControlCore.FailureDetectorType;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Measures promotions in virtual time and the cost of the operations of the leader; run as a main
 * class.
 *
 * <p>The delay between failure domains is 1 ms, and commits take 2 ms.
 */
public final class ControlMeasurements {
    private ControlMeasurements() {}

    /** Prints all results. */
    public static void main(String[] args) {
        for (FailureDetectorType choice : FailureDetectorType.values()) {
            failovers(choice);
            falsePromotions(choice);
        }
        proxyCounts();
        costs();
        heapUsage();
    }

    private static ControlFixture started(long seed, FailureDetectorType choice) {
        ControlFixture fixture =
                new ControlFixture(seed, choice, new FairSharePolicy()).standard(7);
        fixture.run(10_000 + fixture.random.nextInt(500));
        return fixture;
    }

    /** Stops the primary and measures the time until each step of the promotion. */
    private static void failovers(FailureDetectorType choice) {
        for (long seed = 1; seed <= 5; seed++) {
            ControlFixture fixture = started(seed, choice);
            fixture.primary().alive = false;
            long killed = fixture.now;
            long suspected = until(fixture, () -> fixture.group().promoting());
            long decided = until(fixture, () -> fixture.group().term() == 2);
            long promoted = until(fixture, () -> fixture.primary().primary);
            long known =
                    until(
                            fixture,
                            () ->
                                    fixture.proxies.values().stream()
                                            .allMatch(p -> p.groups.get("fleet").term() == 2));
            System.out.printf(
                    "failover %s seed %d: begun %d ms, decided %d ms, promoted %d ms,"
                            + " known to all proxies %d ms%n",
                    choice,
                    seed,
                    (suspected - killed) / MS,
                    (decided - killed) / MS,
                    (promoted - killed) / MS,
                    (known - killed) / MS);
        }
    }

    private interface Condition {
        boolean holds();
    }

    private static long until(ControlFixture fixture, Condition condition) {
        for (int i = 0; i < 20_000 && !condition.holds(); i++) {
            fixture.run(1);
        }
        return fixture.now;
    }

    private static void falsePromotions(FailureDetectorType choice) {
        for (long seed = 1; seed <= 5; seed++) {
            ControlFixture slow = started(seed, choice);
            slow.networkDelay = 450 * MS;
            slow.run(60_000);

            ControlFixture jitter = started(seed, choice);
            jitter.every(20 * MS, 0, () -> jitter.networkDelay = jitter.random.nextInt(900) * MS);
            jitter.run(60_000);

            ControlFixture paused = started(seed, choice);
            for (int i = 0; i < 20; i++) {
                pause(paused, List.of("p" + i % 7));
            }

            ControlFixture partitionedLeader = started(seed, choice);
            EndpointKey primary = partitionedLeader.primary().key();
            partitionedLeader.link = (e, from) -> !(e.equals(primary) && from.equals("control"));
            partitionedLeader.run(10_000);

            ControlFixture domain = started(seed, choice);
            EndpointKey remote = domain.primary().key();
            domain.link =
                    (e, from) ->
                            !e.equals(remote)
                                    || from.equals("control")
                                    || !domain.proxies.get(from).domain.equals("Pirque");
            domain.run(10_000);
            System.out.printf(
                    "false promotions %s seed %d: slow link %d, jitter %d, frozen proxy %d,"
                            + " leader cut %d, one domain cut %d%n",
                    choice,
                    seed,
                    slow.group().term() - 1,
                    jitter.group().term() - 1,
                    paused.group().term() - 1,
                    partitionedLeader.group().term() - 1,
                    domain.group().term() - 1);
        }
    }

    private static void pause(ControlFixture fixture, List<String> names) {
        names.forEach(n -> fixture.proxies.get(n).paused = true);
        fixture.run(2_000);
        names.forEach(n -> fixture.proxies.get(n).paused = false);
        fixture.run(1_000);
    }

    /** Measures the time to the promotion for different numbers of reporters. */
    private static void proxyCounts() {
        for (int proxies : new int[] {1, 3, 7, 21}) {
            long sum = 0;
            for (long seed = 1; seed <= 5; seed++) {
                ControlFixture fixture = new ControlFixture(seed).standard(proxies);
                fixture.run(10_000 + fixture.random.nextInt(500));
                fixture.primary().alive = false;
                long killed = fixture.now;
                sum +=
                        until(
                                        fixture,
                                        () ->
                                                fixture.primary().primary
                                                        && fixture.group().term() == 2)
                                - killed;
            }
            System.out.printf(
                    "promoted after kill, %d proxies: mean %d ms%n", proxies, sum / 5 / MS);
        }
    }

    /** A leader with groups of 3 endpoints and with proxies that use 18 groups each. */
    private static final class Load {
        private final ControlCore core;
        private final List<Announcement> announcements = new ArrayList<>();
        private final int proxies;
        private final int groups;
        private ControlState state = ControlState.EMPTY;
        private long now = 1;
        private long sequence;

        Load(int groups, int proxies) {
            this.groups = groups;
            this.proxies = proxies;
            for (int g = 0; g < groups; g++) {
                apply(new ControlCommand.RegisterGroup("g" + g, 3));
                for (int e = 0; e < 3; e++) {
                    SimulatedEndpoint endpoint =
                            new SimulatedEndpoint("g" + g, "e" + e, "domain-" + e);
                    endpoint.answer(new EndpointCall.Fence(1));
                    if (e == 0) {
                        endpoint.answer(new EndpointCall.Promote(1));
                    } else {
                        endpoint.log.add(1L);
                    }
                    announcements.add(endpoint.announcement(3));
                    apply(
                            new ControlCommand.RegisterEndpoint(
                                    "g" + g, announcements.get(g * 3 + e).info()));
                }
                apply(new ControlCommand.BeginPromotion("g" + g, 1, "first"));
                apply(new ControlCommand.CompletePromotion("g" + g, 1, "e0"));
            }
            for (int p = 0; p < proxies; p++) {
                apply(new ControlCommand.MemberProxyJoined("p" + p, "domain-" + p % 3));
                apply(new ControlCommand.GrantFloor("p" + p));
            }
            core = new ControlCore("domain-0", state, ControlFixture.CHECKER, now);
            core.handle(new ControlEvent.BecameLeader(1), now);
            core.handle(new ControlEvent.ReadyChanged(true), now);
        }

        private void apply(ControlCommand command) {
            state = state.apply(command)._1;
        }

        ProxyReport report(int proxy) {
            List<EndpointObservation> observations = new ArrayList<>();
            for (int g = 0; g < Math.min(18, groups); g++) {
                String group = "g" + (proxy * 7 + g) % groups;
                for (int e = 0; e < 3; e++) {
                    observations.add(new EndpointObservation(group, "e" + e, 20, 2, 3, 0, 0, 1));
                }
            }
            return new ProxyReport(
                    "p" + proxy,
                    1,
                    "domain-" + proxy % 3,
                    sequence,
                    state.rules().version(),
                    0,
                    false,
                    now,
                    observations,
                    new ProxyReport.Acknowledged(1, sequence - 1, state.revision()));
        }

        /**
         * Handles one report of each proxy, as in an interval of 250 ms, and returns the
         * nanoseconds per report.
         */
        double reports() {
            now += 250 * MS;
            sequence++;
            List<ProxyReport> reports = new ArrayList<>();
            for (int p = 0; p < proxies; p++) {
                reports.add(report(p));
            }
            long start = System.nanoTime();
            for (ProxyReport report : reports) {
                core.handle(new ControlEvent.ReportReceived(report), now);
            }
            return (double) (System.nanoTime() - start) / proxies;
        }

        double announcements() {
            long start = System.nanoTime();
            for (Announcement announcement : announcements) {
                core.handle(new ControlEvent.AnnouncementReceived(announcement), now);
            }
            return (double) (System.nanoTime() - start) / announcements.size();
        }

        double tick() {
            now += 50 * MS;
            long start = System.nanoTime();
            core.handle(new ControlEvent.Tick(now / MS), now);
            return (double) (System.nanoTime() - start) / groups;
        }

        double ruleChange(int index) {
            ControlCommand command =
                    new ControlCommand.ApplyRules(
                            "op-" + index, state.rules().version(), "allow x", Set.of(), "ana", 1);
            long start = System.nanoTime();
            var applied = state.apply(command);
            state = applied._1;
            core.handle(new ControlEvent.CommandCommitted(command, applied._2, applied._1), now);
            return System.nanoTime() - start;
        }
    }

    private static void costs() {
        for (int[] size : new int[][] {{18, 7}, {18, 30}, {455, 30}, {4555, 255}}) {
            Load load = new Load(size[0], size[1]);
            double[] best = {Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE};
            int rounds = size[0] > 1_000 ? 60 : 300;
            for (int i = 0; i < rounds; i++) {
                best[0] = Math.min(best[0], load.reports());
                best[1] = Math.min(best[1], load.announcements());
                best[2] = Math.min(best[2], load.tick());
            }
            double rules = 0;
            for (int i = 0; i < 1_000; i++) {
                rules += load.ruleChange(i);
            }
            System.out.printf(
                    "cost with %d groups and %d proxies: report %.0f ns, announcement %.0f ns,"
                            + " scan %.0f ns a group, rule change %.0f ns%n",
                    size[0], size[1], best[0], best[1], best[2], rules / 1_000);
        }
        Load load = new Load(18, 7);
        ProxyReport report = load.report(0);
        int groups = ControlStateCodec.encodeSnapshot(load.state).length;
        System.out.printf(
                "report: %d observations; snapshot of 18 groups and 7 proxies: %d bytes%n",
                report.endpoints().size(), groups);
        byte[] rule =
                ControlStateCodec.encodeCommand(
                        new ControlCommand.ApplyRules("op-1", 1, "", Set.of(), "ana", 1));
        System.out.printf("rule change without its text: %d bytes in the log%n", rule.length);
    }

    private static void heapUsage() {
        long[] base = new long[2];
        int[][] sizes = {{1_000, 50}, {4_000, 50}, {1_000, 250}};
        long[] used = new long[3];
        for (int i = 0; i < 3; i++) {
            base[0] = usedHeap();
            Load load = new Load(sizes[i][0], sizes[i][1]);
            for (int r = 0; r < 3; r++) {
                load.announcements();
                load.reports();
            }
            used[i] = usedHeap() - base[0];
            if (load.core.state().groups().isEmpty()) {
                throw new IllegalStateException("the load was not applied");
            }
        }
        System.out.printf(
                "held: %d bytes a group, %d bytes a proxy with 18 groups%n",
                (used[1] - used[0]) / 3_000, (used[2] - used[0]) / 200);
    }

    private static long usedHeap() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
