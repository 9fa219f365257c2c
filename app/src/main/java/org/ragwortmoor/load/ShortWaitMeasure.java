package org.ragwortmoor.load;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.ragwortmoor.history.Outcome;

/**
 * Wait of short work behind long work: latency from the scheduled time less the statement's length.
 * The product is loaded without and with long work; the baseline, one queue with a fixed limit,
 * with long work. The long work alone would fill half of all slots.
 */
final class ShortWaitMeasure implements Measure {
    private static final double TARGET_FACTOR = 2;
    private static final String[] ROUNDS = {"without long work", "with long work", "baseline"};

    @Override
    public String name() {
        return "short-wait";
    }

    @Override
    public boolean run(MeasureRun run) throws IOException {
        Histogram[] all = histograms();
        int violations = 0;
        run.title("Wait of short work behind long work (ms)");
        try (AlternatingTargets targets = AlternatingTargets.start(run, true, false)) {
            for (int i = 0; i <= run.pairs(); i++) {
                Histogram[] waits = histograms();
                for (int turn = 0; turn < ROUNDS.length; turn++) {
                    int round = (turn + i) % ROUNDS.length;
                    EmbeddedTarget target = round == 2 ? targets.baseline() : targets.product();
                    LoadRunner.Run load =
                            LoadRunner.run(
                                    workload(run, 400 + 3L * i + round, round > 0),
                                    List.of(),
                                    target,
                                    run.progress());
                    violations += run.violations(load);
                    add(load.samples(), waits[round]);
                }
                run.print(
                        "%s, load average %.1f",
                        i == 0 ? "warm-up" : "pair " + i, Machine.loadAverage());
                print(run, waits);
                for (int round = 0; i > 0 && round < ROUNDS.length; round++) {
                    all[round].add(waits[round]);
                }
            }
        }
        run.print("all pairs together");
        print(run, all);
        run.print("violations in all histories: %d", violations);
        double factor = (double) all[1].getValueAtPercentile(99) / all[0].getValueAtPercentile(99);
        run.print("p99 with long work is %.2f times the p99 without", factor);
        return run.target(
                factor <= TARGET_FACTOR && violations == 0,
                "p99 with long work at most 2 times the p99 without");
    }

    private static Histogram[] histograms() {
        Histogram[] made = new Histogram[ROUNDS.length];
        for (int i = 0; i < made.length; i++) {
            made[i] = LoadResult.histogram();
        }
        return made;
    }

    private static Workload workload(MeasureRun run, long seed, boolean withLong) {
        String[] mix =
                withLong
                        ? run.choose(
                                new String[] {
                                    "--base-rate=125", "--read-percent=84", "--long-percent=24"
                                },
                                new String[] {
                                    "--base-rate=110", "--read-percent=82", "--long-percent=11"
                                })
                        : new String[] {"--base-rate=100", "--read-percent=80", "--long-percent=0"};
        return run.workload(
                seed,
                mix[0],
                mix[1],
                mix[2],
                "--transaction-percent=0",
                "--strong-percent=0",
                "--age-percent=0",
                "--short-micros=2000",
                "--long-micros=300000",
                "--deadline=3000",
                "--duration=2500");
    }

    private static void add(List<Sample> samples, Histogram waits) {
        for (Sample sample : samples) {
            if (sample.label().equals(WorkloadGenerator.SHORT)
                    && sample.outcome() == Outcome.DONE) {
                LoadResult.record(
                        waits,
                        sample.latencyNanos()
                                - TimeUnit.MICROSECONDS.toNanos(sample.serviceMicros()));
            }
        }
    }

    private static void print(MeasureRun run, Histogram[] waits) {
        for (int round = 0; round < ROUNDS.length; round++) {
            LoadResult.Latency wait = LoadResult.Latency.of(waits[round]);
            run.print(
                    "  %-18s n %d, p50 %.1f, p99 %.1f, max %.1f",
                    ROUNDS[round], wait.count(), wait.p50(), wait.p99(), wait.max());
        }
    }
}
