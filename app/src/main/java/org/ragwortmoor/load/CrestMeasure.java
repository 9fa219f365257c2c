package org.ragwortmoor.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.history.Outcome;

/**
 * Goodput of writes at a crest of 5 times capacity, in percent of capacity; the baseline is one
 * queue with a fixed limit.
 *
 * <p>All writes run on one primary, so that its slots divided by the statement's length are the
 * capacity. Goodput counts answers "done" that arrive within the crest and within the deadline
 * after their scheduled time.
 */
final class CrestMeasure implements Measure {
    private static final double SERVICE_SECONDS = 0.025;
    private static final long DEADLINE_MILLIS = 500;
    private static final long START_MILLIS = 500;
    private static final long CREST_MILLIS = 2_000;
    private static final double TARGET_PERCENT = 90;

    @Override
    public String name() {
        return "crest";
    }

    @Override
    public boolean run(MeasureRun run) throws IOException {
        long capacity = Math.round(run.deployment().shape().slots() / SERVICE_SECONDS);
        List<MeasureRun.Pair> pairs = new ArrayList<>();
        int[] late = new int[2];
        int[] violations = new int[1];
        run.title(
                "Goodput at a crest of 5 times the capacity of "
                        + capacity
                        + " writes/s (percent)");
        try (AlternatingTargets targets = AlternatingTargets.start(run, true, false)) {
            for (int i = 0; i <= run.pairs(); i++) {
                Workload workload = workload(run, 300 + i, capacity);
                boolean counted = i > 0;
                MeasureRun.Pair pair =
                        targets.pair(
                                i,
                                (target, product) -> {
                                    LoadRunner.Run load =
                                            LoadRunner.run(
                                                    workload, List.of(), target, run.progress());
                                    violations[0] += run.violations(load);
                                    int lateNow = print(run, load, product);
                                    if (counted) {
                                        late[product ? 0 : 1] += lateNow;
                                    }
                                    return 100 * goodput(load.samples()) / capacity;
                                });
                run.print(
                        "%s: product %.1f%%, baseline %.1f%%, load average %.1f",
                        counted ? "pair " + i : "warm-up",
                        pair.product(),
                        pair.baseline(),
                        Machine.loadAverage());
                if (counted) {
                    pairs.add(pair);
                }
            }
        }
        run.spread("%", pairs);
        run.print("late refusals: product %d, baseline %d", late[0], late[1]);
        run.print("violations in all histories: %d", violations[0]);
        double median =
                MeasureRun.median(pairs.stream().mapToDouble(MeasureRun.Pair::product).toArray());
        return run.target(
                median >= TARGET_PERCENT && late[0] == 0 && violations[0] == 0,
                "median goodput of at least 90% of capacity, every refusal within the deadline of "
                        + DEADLINE_MILLIS
                        + " ms");
    }

    private static Workload workload(MeasureRun run, long seed, long capacity) {
        return run.workload(
                seed,
                "--read-percent=0",
                "--transaction-percent=0",
                "--increment-percent=20",
                "--strong-percent=0",
                "--age-percent=0",
                "--sessions=1000",
                "--keys=300",
                "--short-micros=" + Math.round(SERVICE_SECONDS * 1e6),
                "--deadline=" + DEADLINE_MILLIS,
                "--base-rate=" + capacity / 2,
                "--crest-rate=" + capacity * 5,
                "--crest-start=" + START_MILLIS,
                "--crest-length=" + CREST_MILLIS,
                "--duration=" + (START_MILLIS + CREST_MILLIS + 300));
    }

    private static int print(MeasureRun run, LoadRunner.Run load, boolean product) {
        LoadResult result = LoadResult.of(load.samples(), DEADLINE_MILLIS);
        run.print(
                "  %s: %d scheduled, %d done, %d in time, %d refused, %d of them late, %d unknown",
                product ? "product" : "baseline",
                result.scheduled(),
                result.done(),
                result.doneInTime(),
                result.notRun(),
                result.lateRefusals(),
                result.unknown());
        return result.lateRefusals();
    }

    /** Returns answers "done" per second that arrived in time while the crest lasted. */
    static double goodput(List<Sample> samples) {
        long start = TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        long end = start + TimeUnit.MILLISECONDS.toNanos(CREST_MILLIS);
        long deadline = TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
        long good =
                samples.stream()
                        .filter(s -> s.outcome() == Outcome.DONE && s.latencyNanos() <= deadline)
                        .filter(s -> s.answered() >= start && s.answered() < end)
                        .count();
        return good * 1e9 / (end - start);
    }
}
