package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Prints measurements in virtual time of each policy and its baseline. */
final class EngineMeasurements {
    private static final long MILLI = VirtualTime.MILLI;
    private static final int PROXIES = 7;
    private static final int CONNECTIONS = 30;
    private static final long SERVICE_MICROS = 4000;
    private static final long LONG_MICROS = 300_000;
    private static final EngineSettings POLICY = EngineSettings.defaults();
    private static final EngineSettings BASELINE = POLICY.withWorkClasses(false);

    private EngineMeasurements() {}

    /** A deployment whose proxies have equal connection shares. */
    private record Site(String name, int slots, int permits) {
        FakeGroup group(EngineSettings settings, long seed) {
            FakeGroup group = new FakeGroup(3, slots, CONNECTIONS, 2 * MILLI, seed);
            for (int i = 0; i < PROXIES; i++) {
                group.addProxy(settings, CONNECTIONS / PROXIES, 0);
            }
            group.endpoints.forEach(e -> redistributePermits(group, e));
            group.time.runUntil(500 * MILLI);
            return group;
        }

        /**
         * Assigns each endpoint's long permits to proxies that want them, as the control group
         * does.
         */
        private void redistributePermits(FakeGroup group, FakeEndpoint e) {
            List<FakeGroup.Proxy> wanting = new ArrayList<>();
            int used = 0;
            for (FakeGroup.Proxy proxy : group.proxies) {
                EngineDump.Endpoint state =
                        proxy.engine.dump().endpoints().stream()
                                .filter(d -> d.endpoint().equals(e.name))
                                .findFirst()
                                .orElseThrow();
                if (state.longRunning() > 0) {
                    used += Math.max(state.longRunning(), state.longPermits());
                } else if (state.longWanted() > 0) {
                    wanting.add(proxy);
                }
                if (state.longRunning() == 0 && state.longPermits() > 0) {
                    proxy.leaseLongPermits(e, 0);
                }
            }
            Collections.shuffle(wanting, group.random);
            for (int i = 0; i < Math.min(permits - used, wanting.size()); i++) {
                wanting.get(i).leaseLongPermits(e, 1);
            }
            group.time.after(250 * MILLI, () -> redistributePermits(group, e));
        }
    }

    private static final List<Site> SITES =
            List.of(new Site("Carritos", 5, 4), new Site("Speelrooster", 2, 1));

    /** Open-loop load with Poisson arrivals, independent of the answers. */
    private static final class Load {
        private final FakeGroup group;
        private final Random random;
        private final double writeShare;
        private final double longShare;
        private final long deadlineNanos;
        private final Position[] positions = new Position[200];
        private final List<Long> shortWaits = new ArrayList<>();
        private final List<Long> writeTimes = new ArrayList<>();
        private long reads;
        private long replicaReads;
        private long done;
        private long refused;
        private long lateAnswers;
        private long unknown;
        private long stale;
        private long measuredFrom;
        private int sequence;

        private Load(
                FakeGroup group,
                double writeShare,
                double longShare,
                long deadlineNanos,
                long seed) {
            this.group = group;
            this.random = new Random(seed);
            this.writeShare = writeShare;
            this.longShare = longShare;
            this.deadlineNanos = deadlineNanos;
            Arrays.fill(positions, Position.ZERO);
        }

        /** Sends {@code perSecond} requests on average until the given time. */
        private Load run(double perSecond, long until) {
            arrive(1e9 / perSecond, until);
            group.time.runUntil(until + 1000 * MILLI);
            return this;
        }

        private void arrive(double meanGap, long until) {
            long gap = (long) (-Math.log(1 - random.nextDouble()) * meanGap);
            if (group.time.now() + gap > until) {
                return;
            }
            group.time.after(
                    gap,
                    () -> {
                        send();
                        arrive(meanGap, until);
                    });
        }

        private void send() {
            int session = random.nextInt(positions.length);
            boolean isLong = random.nextDouble() < longShare;
            long service = isLong ? LONG_MICROS : SERVICE_MICROS;
            long sentAt = group.time.now();
            long deadline = sentAt + (isLong ? 10 * deadlineNanos : deadlineNanos);
            String label = isLong ? "report" : "lookup";
            long id = ++group.lastRequest;
            boolean write = !isLong && random.nextDouble() < writeShare;
            String key = "k" + random.nextInt(50);
            CallerRequest request =
                    write
                            ? new CallerRequest.Write(
                                    id,
                                    "s" + session,
                                    List.of(new Operation.Increment(key, 1)),
                                    new WriteIdentity("w" + ++sequence, 1),
                                    true,
                                    "book",
                                    service,
                                    deadline)
                            : new CallerRequest.Read(
                                    id,
                                    "s" + session,
                                    List.of(new Operation.Get(key)),
                                    ReadLevel.SESSION,
                                    0,
                                    positions[session],
                                    label,
                                    service,
                                    deadline);
            Position before = positions[session];
            FakeGroup.Proxy proxy = group.proxies.get(random.nextInt(group.proxies.size()));
            proxy.call(
                    request,
                    answer -> answered(answer, session, before, write, isLong, sentAt, deadline));
        }

        private void answered(
                CallerAnswer answer,
                int session,
                Position before,
                boolean write,
                boolean isLong,
                long sentAt,
                long deadline) {
            long now = group.time.now();
            if (now > deadline) {
                lateAnswers++;
            }
            if (answer instanceof CallerAnswer.Unknown) {
                unknown++;
                return;
            }
            if (!(answer instanceof CallerAnswer.Done result)) {
                refused++;
                return;
            }
            done++;
            if (result.position().index() < before.index()) {
                stale++;
            }
            if (result.position().compareTo(positions[session]) > 0) {
                positions[session] = result.position();
            }
            if (write) {
                writeTimes.add(now);
                return;
            }
            reads++;
            if (result.replica()) {
                replicaReads++;
            }
            if (!isLong) {
                if (sentAt >= measuredFrom) {
                    shortWaits.add(Math.max(0, now - sentAt - SERVICE_MICROS * 1000));
                }
            }
        }
    }

    private static double percentile(List<Long> values, double share) {
        if (values.isEmpty()) {
            return Double.NaN;
        }
        List<Long> sorted = values.stream().sorted().toList();
        return sorted.get((int) Math.min(sorted.size() - 1.0, share * sorted.size())) / 1e6;
    }

    private static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    private static double capacity(Site site) {
        return 3.0 * site.slots() * 1e6 / SERVICE_MICROS;
    }

    private static void replicaShare(Site site) {
        for (double load : new double[] {0.3, 0.7}) {
            for (EngineSettings settings : List.of(POLICY, POLICY.withReplicaReads(false))) {
                FakeGroup group = site.group(settings, 11);
                Load run = new Load(group, 0.1, 0, 500 * MILLI, 12);
                run.run(load * capacity(site), 10_500 * MILLI);
                print(
                        "replica share %-12s load %.1f %-12s %5.1f%% of %5d reads, stale %d,"
                                + " refused %d, wait p99 %.1f ms",
                        site.name(),
                        load,
                        settings.replicaReads() ? "lineage" : "primary only",
                        100.0 * run.replicaReads / Math.max(1, run.reads),
                        run.reads,
                        run.stale,
                        run.refused,
                        percentile(run.shortWaits, 0.99));
            }
        }
    }

    /**
     * Measures the longest gap between writes at a failover that is ordered 700 ms after the fault.
     */
    private static void writeGap(Site site) {
        for (boolean attached : new boolean[] {false, true}) {
            FakeGroup group = site.group(POLICY, 21);
            long cutAt = 4000 * MILLI;
            long promotedAt = cutAt + 700 * MILLI;
            group.time.at(
                    cutAt,
                    () ->
                            (attached ? group.isolated : group.unreachable)
                                    .add(group.primary().name));
            group.time.at(promotedAt, group::failOver);
            Load run = new Load(group, 0.5, 0, 2000 * MILLI, 22);
            run.run(0.3 * capacity(site), 8000 * MILLI);
            List<Long> times = run.writeTimes.stream().sorted().toList();
            long gap = 0;
            long first = 0;
            for (int i = 1; i < times.size(); i++) {
                if (times.get(i) - times.get(i - 1) > gap) {
                    gap = times.get(i) - times.get(i - 1);
                    first = times.get(i);
                }
            }
            print(
                    "write gap     %-12s %-20s gap %4d ms, %3d ms after the promotion,"
                            + " refused %d, unknown %d",
                    site.name(),
                    attached ? "primary isolated" : "primary cut off",
                    gap / MILLI,
                    (first - promotedAt) / MILLI,
                    run.refused,
                    run.unknown);
        }
    }

    private static void surge(Site site) {
        for (EngineSettings settings : List.of(POLICY, BASELINE)) {
            FakeGroup group = site.group(settings, 31);
            Load run = new Load(group, 0.1, 0, 200 * MILLI, 32);
            long seconds = 10;
            run.run(5 * capacity(site), (500 + seconds * 1000) * MILLI);
            double offered = run.done + run.refused + run.unknown;
            print(
                    "surge 5x      %-12s %-12s goodput %5.1f%% of capacity, refused %.0f%%,"
                            + " late answers %d, unknown %d, wait p99 %.1f ms",
                    site.name(),
                    settings.classes() ? "adaptive" : "fifo",
                    100 * (run.done / (double) seconds) / capacity(site),
                    100 * run.refused / offered,
                    run.lateAnswers,
                    run.unknown,
                    percentile(run.shortWaits, 0.99));
        }
    }

    private static void shortBehindLong(Site site) {
        for (EngineSettings settings : List.of(POLICY, BASELINE)) {
            for (double longShare : new double[] {0, 0.004}) {
                FakeGroup group = site.group(settings, 41);
                Load run = new Load(group, 0.1, longShare, 1000 * MILLI, 42);
                // Excludes the time in which the first "report" of each proxy runs as short work.
                run.measuredFrom = 10_000 * MILLI;
                run.run(0.4 * capacity(site), 40_000 * MILLI);
                print(
                        "short wait    %-12s %-12s %-12s p50 %5.1f p99 %6.1f max %6.1f ms,"
                                + " done %d, refused %d",
                        site.name(),
                        settings.classes() ? "classes" : "one queue",
                        longShare > 0 ? "with long" : "without long",
                        percentile(run.shortWaits, 0.5),
                        percentile(run.shortWaits, 0.99),
                        percentile(run.shortWaits, 1),
                        run.done,
                        run.refused);
            }
        }
    }

    /** Prints all tables. */
    public static void main(String[] arguments) {
        print(
                "3 endpoints, %d proxies, %d connections per endpoint, service %d us (short), %d us"
                        + " (long), replication every 2 ms, one-way delay 1.0 to 1.2 ms",
                PROXIES, CONNECTIONS, SERVICE_MICROS, LONG_MICROS);
        for (Site site : SITES) {
            replicaShare(site);
            writeGap(site);
            surge(site);
            shortBehindLong(site);
        }
    }
}
