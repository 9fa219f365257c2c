package org.ragwortmoor.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.ragwortmoor.history.Outcome;

/**
 * Longest time between two acknowledgements of writes around the kill of a primary. No baseline
 * switch exists for a failover, so the baseline is the longest such time of the same load before
 * the kill, which shows what the machine and the load add.
 */
final class WriteGapMeasure implements Measure {
    private static final long KILL_MILLIS = 1_500;
    private static final double TARGET_MILLIS = 2_000;

    @Override
    public String name() {
        return "write-gap";
    }

    @Override
    public boolean run(MeasureRun run) throws IOException {
        List<MeasureRun.Pair> pairs = new ArrayList<>();
        List<String> groups = run.deployment().shape().groups();
        int violations = 0;
        run.title("Write gap at the kill of a primary");
        EmbeddedTarget target = null;
        try {
            for (int i = 1; i <= run.pairs(); i++) {
                int number = (i - 1) % groups.size();
                if (number == 0) {
                    if (target != null) {
                        target.close();
                    }
                    target = run.start(groups, true, true);
                }
                violations += pair(run, i, groups.get(number), target, pairs);
            }
        } finally {
            if (target != null) {
                target.close();
            }
        }
        run.spread("ms", pairs);
        run.print("violations in all histories: %d", violations);
        boolean met = violations == 0 && pairs.stream().allMatch(p -> p.product() < TARGET_MILLIS);
        return run.target(met, "every gap under 2 s with nothing acknowledged lost");
    }

    private static int pair(
            MeasureRun run,
            int number,
            String group,
            EmbeddedTarget target,
            List<MeasureRun.Pair> pairs) {
        Workload workload =
                run.workload(
                        200 + number,
                        "--read-percent=0",
                        "--transaction-percent=0",
                        "--increment-percent=50",
                        "--strong-percent=0",
                        "--age-percent=0",
                        "--base-rate=100",
                        "--duration=5500");
        FaultPlan kill = new FaultPlan(KILL_MILLIS, FaultPlan.Kind.KILL, "primary-of-" + group, 0);
        LoadRunner.Run load =
                LoadRunner.run(
                        workload, List.of(kill), new GroupTarget(target, group), run.progress());
        long at = TimeUnit.MILLISECONDS.toNanos(KILL_MILLIS);
        MeasureRun.Pair pair =
                new MeasureRun.Pair(
                        gap(load, s -> s.answered() >= at - TimeUnit.MILLISECONDS.toNanos(200)),
                        gap(load, s -> s.answered() < at));
        pairs.add(pair);
        int violations = run.violations(load);
        LoadResult result = LoadResult.of(load.samples(), workload.deadlineMillis());
        run.print(
                "pair %d: gap %.0f ms, before the kill %.0f ms; %d done, %d not run, %d unknown,"
                        + " %d violations; faults %s; load average %.1f",
                number,
                pair.product(),
                pair.baseline(),
                result.done(),
                result.notRun(),
                result.unknown(),
                violations,
                load.faults(),
                Machine.loadAverage());
        return violations;
    }

    /**
     * A run without a later acknowledgement has an endless gap; it counts as the length of the run.
     */
    private static double gap(LoadRunner.Run load, Predicate<Sample> within) {
        List<Sample> chosen = load.samples().stream().filter(within).toList();
        long acknowledged =
                chosen.stream().filter(s -> s.writes() && s.firstOutcome() == Outcome.DONE).count();
        return acknowledged < 2
                ? Double.POSITIVE_INFINITY
                : LoadResult.longestWriteGapMillis(chosen, chosen.get(0).group());
    }
}
