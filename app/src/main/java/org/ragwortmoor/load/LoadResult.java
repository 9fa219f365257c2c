package org.ragwortmoor.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.ragwortmoor.history.Outcome;
import org.ragwortmoor.history.RequestKind;

/**
 * Figures of a load.
 *
 * @param scheduled requests that were planned, all of which were sent
 * @param done requests that were executed
 * @param notRun requests that were refused
 * @param unknown requests whose outcome stayed unknown
 * @param doneInTime requests that were executed and answered within the deadline after their
 *     scheduled time
 * @param lateRefusals refusals that were answered later than the deadline after sending
 * @param errors number of first answers by error kind
 * @param reads executed reads
 * @param replicaReads executed reads that a replica served
 * @param longestWriteGapMillis longest time between acknowledgements of writes of one group
 * @param latency latencies from the scheduled time by kind and label
 * @param seconds figures per second of the scheduled time
 */
public record LoadResult(
        int scheduled,
        int done,
        int notRun,
        int unknown,
        int doneInTime,
        int lateRefusals,
        Map<String, Integer> errors,
        int reads,
        int replicaReads,
        double longestWriteGapMillis,
        Map<String, Latency> latency,
        List<Second> seconds) {
    /** Latencies from 1 us to 10 min are kept with this precision. */
    private static final int DIGITS = 3;

    private static final long GREATEST_MICROS = TimeUnit.MINUTES.toMicros(10);

    /** Latencies in milliseconds. */
    public record Latency(long count, double p50, double p99, double max) {
        static Latency of(Histogram micros) {
            return new Latency(
                    micros.getTotalCount(),
                    micros.getValueAtPercentile(50) / 1e3,
                    micros.getValueAtPercentile(99) / 1e3,
                    micros.getMaxValue() / 1e3);
        }
    }

    /** One second of the load. */
    public record Second(
            int second, int scheduled, int done, int notRun, int unknown, double p50, double p99) {}

    /** Copies the collections. */
    public LoadResult {
        errors = Map.copyOf(errors);
        latency = Map.copyOf(latency);
        seconds = List.copyOf(seconds);
    }

    /** Computes the figures of the samples of one load. */
    public static LoadResult of(List<Sample> samples, long deadlineMillis) {
        long deadline = TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
        Map<String, Integer> errors = new TreeMap<>();
        samples.stream()
                .filter(s -> !s.error().isEmpty())
                .forEach(s -> errors.merge(s.error(), 1, Integer::sum));
        Map<String, Histogram> latency = new TreeMap<>();
        for (Sample sample : samples) {
            if (sample.outcome() == Outcome.DONE) {
                String name = (sample.writes() ? "write" : "read") + "-" + sample.label();
                record(latency.computeIfAbsent(name, n -> histogram()), sample.latencyNanos());
                record(latency.computeIfAbsent("all", n -> histogram()), sample.latencyNanos());
            }
        }
        Map<String, Latency> latencies = new TreeMap<>();
        latency.forEach((name, histogram) -> latencies.put(name, Latency.of(histogram)));
        Predicate<Sample> read = s -> s.kind() == RequestKind.READ && is(s, Outcome.DONE);
        return new LoadResult(
                samples.size(),
                count(samples, s -> is(s, Outcome.DONE)),
                count(samples, s -> is(s, Outcome.NOT_RUN)),
                count(samples, s -> is(s, Outcome.UNKNOWN)),
                count(samples, s -> is(s, Outcome.DONE) && s.latencyNanos() <= deadline),
                count(samples, s -> is(s, Outcome.NOT_RUN) && s.answered() - s.sent() > deadline),
                errors,
                count(samples, read),
                count(samples, read.and(Sample::replica)),
                longestWriteGapMillis(samples),
                latencies,
                seconds(samples));
    }

    static Histogram histogram() {
        return new Histogram(GREATEST_MICROS, DIGITS);
    }

    static void record(Histogram histogram, long nanos) {
        long micros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos));
        histogram.recordValue(Math.min(GREATEST_MICROS, micros));
    }

    private static boolean is(Sample sample, Outcome outcome) {
        return sample.outcome() == outcome;
    }

    private static int count(List<Sample> samples, Predicate<Sample> which) {
        return (int) samples.stream().filter(which).count();
    }

    private static double longestWriteGapMillis(List<Sample> samples) {
        return samples.stream()
                .map(Sample::group)
                .distinct()
                .mapToDouble(group -> longestWriteGapMillis(samples, group))
                .max()
                .orElse(0);
    }

    /** Returns the longest time between two acknowledgements of writes of a group. */
    static double longestWriteGapMillis(List<Sample> samples, String group) {
        long[] times =
                samples.stream()
                        .filter(s -> s.group().equals(group))
                        .filter(s -> s.writes() && s.firstOutcome() == Outcome.DONE)
                        .mapToLong(Sample::answered)
                        .sorted()
                        .toArray();
        long longest = 0;
        for (int i = 1; i < times.length; i++) {
            longest = Math.max(longest, times[i] - times[i - 1]);
        }
        return longest / 1e6;
    }

    private static List<Second> seconds(List<Sample> samples) {
        Map<Integer, List<Sample>> bySecond = new TreeMap<>();
        for (Sample sample : samples) {
            int second = (int) TimeUnit.NANOSECONDS.toSeconds(sample.scheduled());
            bySecond.computeIfAbsent(second, s -> new ArrayList<>()).add(sample);
        }
        List<Second> seconds = new ArrayList<>();
        bySecond.forEach(
                (second, of) -> {
                    Histogram histogram = histogram();
                    of.stream()
                            .filter(s -> is(s, Outcome.DONE))
                            .forEach(s -> record(histogram, s.latencyNanos()));
                    Latency latency = Latency.of(histogram);
                    seconds.add(
                            new Second(
                                    second,
                                    of.size(),
                                    count(of, s -> is(s, Outcome.DONE)),
                                    count(of, s -> is(s, Outcome.NOT_RUN)),
                                    count(of, s -> is(s, Outcome.UNKNOWN)),
                                    latency.p50(),
                                    latency.p99()));
                });
        return seconds;
    }
}
