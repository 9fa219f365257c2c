package org.ragwortmoor.coordination.balancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Plays reads of many choosers at three servers, one in each failure domain, in virtual time. What
 * a chooser learns from an answer reaches it with a delay, the age of the figures; its own work in
 * progress is always exact.
 */
final class ReadSimulation {
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int DOMAINS = 3;
    private static final int SLOTS = 4;
    private static final int ATTEMPTS = 3;
    private static final long WARM_UP = 1_000 * MILLI;
    private static final long LOCAL_WAY = MILLI / 10;
    private static final long REMOTE_WAY = 4_500_000;

    /** What happens to server 0. */
    enum Fault {
        NONE,
        /** It takes five times as long, from 2 s to 7 s. */
        SLOW,
        /** It fails two fifths of its work, from 2 s to 7 s. */
        FAILING,
        /** It is gone from 2 s to 3 s and needs four times as long at first. */
        COLD
    }

    /**
     * One scenario.
     *
     * @param choosers number of choosers
     * @param ageMillis delay until a chooser learns from an answer
     * @param utilization offered work as a share of the capacity of all servers
     * @param shares shares of the load by failure domain
     */
    record Scenario(
            int choosers, long ageMillis, double utilization, Fault fault, List<Double> shares) {}

    /**
     * What callers got.
     *
     * @param inTime share answered within the latency objective
     * @param busiest work of the busiest server against the mean
     * @param remote share of attempts that crossed failure domains
     */
    record Result(
            double p50, double p99, double inTime, double busiest, double remote, long count) {}

    private record Event(long at, long sequence, Runnable task) {}

    private final class SimulatedServer {
        private final int domain;
        private int running;
        private long busyNanos;
        private final List<Runnable> queue = new ArrayList<>();

        SimulatedServer(int domain) {
            this.domain = domain;
        }

        boolean present() {
            return !(faulty() && scenario.fault() == Fault.COLD && now < 3_000 * MILLI);
        }

        boolean faulty() {
            return domain == 0 && now >= 2_000 * MILLI && now < 7_000 * MILLI;
        }

        double speedFactor() {
            if (!faulty()) {
                return 1;
            }
            if (scenario.fault() == Fault.SLOW) {
                return 5;
            }
            double sinceReturn = (now - 3_000 * MILLI) / (double) (1_000 * MILLI);
            return scenario.fault() == Fault.COLD ? Math.max(1, 4 - 3 * sinceReturn) : 1;
        }

        void submit(Runnable start) {
            queue.add(start);
            startNext();
        }

        void startNext() {
            while (running < SLOTS && !queue.isEmpty()) {
                running++;
                queue.remove(0).run();
            }
        }
    }

    private static final class View implements ServerLoad {
        private final AnswerFigures figures = new AnswerFigures(0);
        private int inUse;
        private boolean unreachable;

        @Override
        public int slots() {
            return SLOTS;
        }

        @Override
        public int inUse() {
            return inUse;
        }

        @Override
        public AnswerFigures figures() {
            return figures;
        }
    }

    private final class Chooser {
        private final int domain;
        private final ReadServerChoice choice;
        private final View[] views = {new View(), new View(), new View()};
        private final Candidates<View> candidates = new Candidates<>();

        Chooser(int domain, ReadServerChoice choice) {
            this.domain = domain;
            this.choice = choice;
        }

        void attempt(Read read) {
            candidates.clear();
            for (int i = 0; i < DOMAINS; i++) {
                boolean present = servers[i].present();
                if (present && (read.excluded & (1 << i)) == 0) {
                    if (views[i].unreachable) {
                        views[i].unreachable = false;
                        views[i].figures.recordOpened(now);
                    }
                    candidates.add(views[i], i == domain, i == 2, true);
                } else if (!present) {
                    views[i].unreachable = true;
                    views[i].figures.recordUnreachable();
                }
            }
            if (candidates.size() == 0) {
                finish(read, false);
                return;
            }
            View view = candidates.server(choice.select(candidates, now));
            int index = Arrays.asList(views).indexOf(view);
            long way = index == domain ? LOCAL_WAY : REMOTE_WAY;
            if (now >= WARM_UP) {
                attempts++;
                remoteAttempts += index == domain ? 0 : 1;
            }
            view.inUse++;
            long sentAt = now;
            SimulatedServer server = servers[index];
            at(now + way, () -> server.submit(() -> run(read, index, sentAt, way)));
        }

        private void run(Read read, int index, long sentAt, long way) {
            SimulatedServer server = servers[index];
            long nanos = (long) (read.workNanos * server.speedFactor());
            server.busyNanos += now >= WARM_UP ? nanos : 0;
            boolean fails =
                    scenario.fault() == Fault.FAILING
                            && server.faulty()
                            && random.nextDouble() < 0.4;
            at(
                    now + nanos,
                    () -> {
                        server.running--;
                        server.startNext();
                        at(now + way, () -> answered(read, index, now - sentAt, fails));
                    });
        }

        private void answered(Read read, int index, long latency, boolean fails) {
            View view = views[index];
            view.inUse--;
            at(
                    now + scenario.ageMillis() * MILLI,
                    () -> {
                        if (fails) {
                            view.figures.recordFailure(now);
                        } else {
                            view.figures.recordAnswer(latency, now);
                        }
                    });
            if (!fails) {
                finish(read, true);
                return;
            }
            read.excluded |= 1 << index;
            if (++read.failures < ATTEMPTS) {
                attempt(read);
            } else {
                finish(read, false);
            }
        }
    }

    private static final class Read {
        private long arrivedAt;
        private long objective;
        private long workNanos;
        private int excluded;
        private int failures;
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final SimulatedServer[] servers = new SimulatedServer[DOMAINS];
    private final List<Chooser> choosers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final List<Long> latencies = new ArrayList<>();
    private long now;
    private long sequence;
    private long attempts;
    private long remoteAttempts;
    private long inTime;
    private long finished;

    private ReadSimulation(
            Scenario scenario, long seed, Function<RandomGenerator, ReadServerChoice> rule) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        SplittableRandom draws = new SplittableRandom(~seed);
        for (int i = 0; i < DOMAINS; i++) {
            servers[i] = new SimulatedServer(i);
        }
        for (int i = 0; i < scenario.choosers(); i++) {
            choosers.add(new Chooser(i % DOMAINS, rule.apply(draws.split())));
        }
    }

    /** Plays a scenario for some seconds of virtual time. */
    static Result play(
            Scenario scenario,
            long seed,
            long millis,
            Function<RandomGenerator, ReadServerChoice> rule) {
        ReadSimulation simulation = new ReadSimulation(scenario, seed, rule);
        simulation.schedule(millis * MILLI, new SplittableRandom(seed));
        return simulation.run();
    }

    /** Schedules the arrivals before the run, so that they are the same for every rule. */
    private void schedule(long end, SplittableRandom arrivals) {
        double meanWork = (13 * 0.6 + 7.6 * 0.4) * MILLI;
        double meanGap = meanWork / (DOMAINS * SLOTS * scenario.utilization());
        int perDomain = Math.max(1, scenario.choosers() / DOMAINS);
        double at = 0;
        while (at < end) {
            at += -Math.log(1 - arrivals.nextDouble()) * meanGap;
            Read read = new Read();
            boolean bounded = arrivals.nextDouble() < 0.6;
            read.workNanos =
                    (long) ((bounded ? 13 : 7.6) * MILLI * (0.8 + 0.4 * arrivals.nextDouble()));
            read.objective = (bounded ? 300 : 250) * MILLI;
            read.arrivedAt = (long) at;
            double drawn = arrivals.nextDouble();
            int domain = 0;
            while (domain < DOMAINS - 1 && drawn >= scenario.shares().get(domain)) {
                drawn -= scenario.shares().get(domain);
                domain++;
            }
            Chooser chooser =
                    choosers.get(
                            (domain + DOMAINS * arrivals.nextInt(perDomain)) % choosers.size());
            at((long) at, () -> chooser.attempt(read));
        }
    }

    private void at(long time, Runnable task) {
        events.add(new Event(time, sequence++, task));
    }

    private void finish(Read read, boolean answered) {
        if (read.arrivedAt < WARM_UP) {
            return;
        }
        finished++;
        long latency = now - read.arrivedAt;
        latencies.add(answered ? latency : Long.MAX_VALUE);
        inTime += answered && latency <= read.objective ? 1 : 0;
    }

    private Result run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.at();
            event.task().run();
        }
        latencies.sort(Comparator.naturalOrder());
        double mean = Arrays.stream(servers).mapToLong(s -> s.busyNanos).average().orElseThrow();
        double most = Arrays.stream(servers).mapToLong(s -> s.busyNanos).max().orElseThrow();
        return new Result(
                percentile(0.5),
                percentile(0.99),
                inTime / (double) finished,
                most / mean,
                remoteAttempts / (double) attempts,
                finished);
    }

    private double percentile(double share) {
        return latencies.get((int) (share * (latencies.size() - 1))) / (double) MILLI;
    }
}
