package org.ragwortmoor.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Share of executed reads that replicas serve; the baseline reads on the primary only.
 *
 * <p>The mix bounds the share: strong reads run on the primary. Speelrooster's parents read a
 * published schedule (95% reads, 3% of them strong), Carritos books carts (70% reads, 15% strong).
 */
final class ReplicaShareMeasure implements Measure {
    @Override
    public String name() {
        return "replica-share";
    }

    @Override
    public boolean run(MeasureRun run) throws IOException {
        String[] mix =
                run.choose(
                        new String[] {
                            "--read-percent=70", "--strong-percent=15", "--age-percent=30"
                        },
                        new String[] {
                            "--read-percent=95", "--strong-percent=3", "--age-percent=40"
                        });
        List<MeasureRun.Pair> pairs = new ArrayList<>();
        int[] violations = new int[1];
        run.title("Share of reads served by replicas");
        try (AlternatingTargets targets = AlternatingTargets.start(run, false, true)) {
            for (int i = 0; i <= run.pairs(); i++) {
                Workload workload =
                        run.workload(
                                100 + i,
                                mix[0],
                                mix[1],
                                mix[2],
                                "--transaction-percent=3",
                                "--base-rate=120",
                                "--duration=2500");
                MeasureRun.Pair pair =
                        targets.pair(
                                i,
                                (target, product) -> {
                                    LoadRunner.Run load =
                                            LoadRunner.run(
                                                    workload, List.of(), target, run.progress());
                                    violations[0] += run.violations(load);
                                    LoadResult result =
                                            LoadResult.of(
                                                    load.samples(), workload.deadlineMillis());
                                    return 100.0
                                            * result.replicaReads()
                                            / Math.max(1, result.reads());
                                });
                run.print(
                        "%s: product %.1f%%, baseline %.1f%%, load average %.1f",
                        i == 0 ? "warm-up" : "pair " + i,
                        pair.product(),
                        pair.baseline(),
                        Machine.loadAverage());
                if (i > 0) {
                    pairs.add(pair);
                }
            }
        }
        run.spread("%", pairs);
        run.print("violations in all histories: %d", violations[0]);
        double least = run.choose(66.0, 90.0);
        double median =
                MeasureRun.median(pairs.stream().mapToDouble(MeasureRun.Pair::product).toArray());
        return run.target(
                median >= least && violations[0] == 0,
                "median of at least " + least + "% with no stale answer");
    }
}
