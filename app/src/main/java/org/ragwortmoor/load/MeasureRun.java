package org.ragwortmoor.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.ragwortmoor.history.HistoryChecker;
import org.ragwortmoor.history.Violation;

/**
 * What all measures share: the deployment under measurement, the number of pairs and the output.
 *
 * @param deployment deployment, embedded
 * @param pairs number of pairs
 * @param proxies number of proxies
 * @param out results
 * @param progress progress of each load
 */
public record MeasureRun(
        Deployment deployment, int pairs, int proxies, PrintStream out, PrintStream progress) {
    /** Violations that are printed in full. */
    private static final int MAX_PRINTED = 3;

    /** Figures of the product and of its baseline from one pair. */
    record Pair(double product, double baseline) {}

    /** Starts a deployment with these switches. */
    EmbeddedTarget start(List<String> groups, boolean replicaReads, boolean classes)
            throws IOException {
        return EmbeddedTarget.start(
                new LoadSettings.Target(
                        deployment, List.of(), groups, proxies, replicaReads, classes),
                groups);
    }

    /** Returns the first group of the deployment. */
    List<String> oneGroup() {
        return deployment.shape().groups().subList(0, 1);
    }

    /** Returns a workload from the flags of the load command, with a seed. */
    Workload workload(long seed, String... flags) {
        String[] all = new String[flags.length + 1];
        System.arraycopy(flags, 0, all, 0, flags.length);
        all[flags.length] = "--deployment=" + deployment.label();
        return LoadSettings.parse(all).workload().withSeed(seed);
    }

    /** Returns one of two values by deployment. */
    <T> T choose(T carritos, T speelrooster) {
        return deployment == Deployment.CARRITOS ? carritos : speelrooster;
    }

    /** Checks a history, prints the first violations and returns their number. */
    int violations(LoadRunner.Run run) {
        List<Violation> violations = HistoryChecker.check(run.history());
        violations.stream().limit(MAX_PRINTED).forEach(v -> print("%s", v.message()));
        return violations.size();
    }

    /** Prints one line. */
    void print(String format, Object... arguments) {
        out.println(String.format(Locale.ROOT, format, arguments));
    }

    /** Prints the title with the machine. */
    void title(String what) {
        print(
                "%s, %s, %d proxies, %d pairs, load average %.1f on %d processors",
                what,
                deployment.label(),
                proxies,
                pairs,
                Machine.loadAverage(),
                Machine.processors());
    }

    /** Prints the spread of all pairs. */
    void spread(String unit, List<Pair> all) {
        print(
                "product  median %.1f %s, %.1f to %.1f",
                median(all.stream().mapToDouble(Pair::product).toArray()),
                unit,
                all.stream().mapToDouble(Pair::product).min().orElse(0),
                all.stream().mapToDouble(Pair::product).max().orElse(0));
        print(
                "baseline median %.1f %s, %.1f to %.1f",
                median(all.stream().mapToDouble(Pair::baseline).toArray()),
                unit,
                all.stream().mapToDouble(Pair::baseline).min().orElse(0),
                all.stream().mapToDouble(Pair::baseline).max().orElse(0));
    }

    /** Prints whether the target is met and returns it. */
    boolean target(boolean met, String target) {
        print("target %s: %s", met ? "met" : "MISSED", target);
        return met;
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        java.util.Arrays.sort(sorted);
        int middle = sorted.length / 2;
        if (sorted.length == 0) {
            return 0;
        }
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
