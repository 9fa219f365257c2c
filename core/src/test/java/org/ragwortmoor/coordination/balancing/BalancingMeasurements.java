package org.ragwortmoor.coordination.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

/** Prints what callers get with each way to choose a server, in the same runs. */
final class BalancingMeasurements {
    /** The constants of the rule were chosen with seeds 1 to 10; these are others. */
    private static final long FIRST_SEED = 11;

    private static final long LAST_SEED = 20;
    private static final long MILLIS = 8_000;

    private BalancingMeasurements() {}

    static List<ReadSimulation.Scenario> scenarios() {
        List<ReadSimulation.Scenario> scenarios = new ArrayList<>();
        for (double utilization : new double[] {0.2, 0.6}) {
            for (ReadSimulation.Fault fault : ReadSimulation.Fault.values()) {
                for (int choosers : new int[] {3, 27, 300}) {
                    for (long age : new long[] {10, 200, 2_000}) {
                        scenarios.add(
                                new ReadSimulation.Scenario(
                                        choosers,
                                        age,
                                        utilization,
                                        fault,
                                        List.of(0.45, 0.35, 0.2)));
                    }
                }
            }
        }
        return scenarios;
    }

    static List<ReadSimulation.Result> play(
            ReadSimulation.Scenario scenario, Function<RandomGenerator, ReadServerChoice> rule) {
        return LongStream.rangeClosed(FIRST_SEED, LAST_SEED)
                .mapToObj(seed -> ReadSimulation.play(scenario, seed, MILLIS, rule))
                .toList();
    }

    private static double mean(
            List<ReadSimulation.Result> results, ToDoubleFunction<ReadSimulation.Result> value) {
        return results.stream().mapToDouble(value).average().orElseThrow();
    }

    private static String line(List<ReadSimulation.Result> results) {
        return String.format(
                Locale.ROOT,
                "%6.1f %7.1f %6.4f %5.2f %6.4f",
                mean(results, ReadSimulation.Result::p50),
                mean(results, ReadSimulation.Result::p99),
                mean(results, ReadSimulation.Result::inTime),
                mean(results, ReadSimulation.Result::busiest),
                mean(results, ReadSimulation.Result::remote));
    }

    /** Prints a table: p50, p99, share in time, busiest server and share of remote reads. */
    public static void main(String[] args) {
        for (ReadSimulation.Scenario scenario : scenarios()) {
            System.out.printf(
                    Locale.ROOT,
                    "%.1f %-7s %3d %4d | %s | %s%n",
                    scenario.utilization(),
                    scenario.fault(),
                    scenario.choosers(),
                    scenario.ageMillis(),
                    line(play(scenario, random -> new FixedCostChoice())),
                    line(play(scenario, MeasuredCostChoice::new)));
        }
    }
}
