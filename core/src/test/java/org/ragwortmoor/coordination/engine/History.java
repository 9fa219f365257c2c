package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.LongBinaryOperator;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;

/** The requests and answers of one run, checked against the final log of the group. */
final class History {
    /** Outcome of a write as known to the caller. */
    enum Outcome {
        DONE,
        NOT_RUN,
        UNKNOWN
    }

    /** A logical write, identified by its idempotency key. */
    static final class Write {
        final String key;
        final List<Operation> operations;
        final long invokedAt;
        Outcome outcome = Outcome.UNKNOWN;
        long answeredAt = Long.MAX_VALUE;
        Position position = Position.ZERO;

        Write(String key, List<Operation> operations, long invokedAt) {
            this.key = key;
            this.operations = operations;
            this.invokedAt = invokedAt;
        }

        void done(Position at, long now) {
            outcome = Outcome.DONE;
            position = at;
            answeredAt = Math.min(answeredAt, now);
        }
    }

    /** An answered read of one counter. */
    record Read(
            ReadLevel level,
            long maxAgeNanos,
            long invokedAt,
            long answeredAt,
            String counter,
            long value,
            Position position,
            Position session) {}

    final Map<String, Write> writes = new LinkedHashMap<>();
    final List<Read> reads = new ArrayList<>();

    /** Value of each counter by log index. */
    private final Map<String, long[]> counterValuesByIndex = new HashMap<>();

    private final TreeMap<Long, Long> highestAcknowledgedByTime = new TreeMap<>();
    private final TreeMap<Long, Long> highestStrongReadByTime = new TreeMap<>();
    private final TreeMap<Long, Long> lowestInvokedByTime = new TreeMap<>();

    Write write(String key, List<Operation> operations, long now) {
        return writes.computeIfAbsent(key, k -> new Write(k, operations, now));
    }

    int acknowledged() {
        return (int) writes.values().stream().filter(w -> w.outcome == Outcome.DONE).count();
    }

    /** Returns the violations of the consistency guarantees, given the final log. */
    List<String> violations(List<FakeEndpoint.Entry> log) {
        List<String> violations = new ArrayList<>();
        Map<String, List<Integer>> executed = new HashMap<>();
        for (int i = 1; i <= log.size(); i++) {
            FakeEndpoint.Entry entry = log.get(i - 1);
            if (entry.identity() != null && !entry.cancelled()) {
                executed.computeIfAbsent(entry.identity().key(), k -> new ArrayList<>()).add(i);
            }
        }
        buildIndexes(executed, log);
        for (Write write : writes.values()) {
            checkWrite(write, executed.getOrDefault(write.key, List.of()), log, violations);
        }
        for (Read read : reads) {
            checkRead(read, log, violations);
        }
        return violations;
    }

    private static void checkWrite(
            Write write, List<Integer> at, List<FakeEndpoint.Entry> log, List<String> violations) {
        if (at.size() > 1) {
            violations.add(write.key + " was executed " + at.size() + " times");
        }
        if (write.outcome == Outcome.DONE && at.isEmpty()) {
            violations.add(write.key + " was acknowledged and is lost");
        }
        if (write.outcome == Outcome.NOT_RUN && !at.isEmpty()) {
            violations.add(write.key + " was reported as not run and was executed");
        }
        if (at.isEmpty()) {
            return;
        }
        FakeEndpoint.Entry entry = log.get(at.get(0) - 1);
        if (!entry.operations().equals(write.operations)) {
            violations.add(write.key + " was executed with the operations " + entry.operations());
        }
        Position actual = new Position(entry.term(), at.get(0));
        if (write.outcome == Outcome.DONE && !write.position.equals(actual)) {
            violations.add(write.key + " was answered with a position other than " + actual);
        }
    }

    private void checkRead(Read read, List<FakeEndpoint.Entry> log, List<String> violations) {
        long index = read.position().index();
        if (index > log.size()
                || (index > 0 && log.get((int) index - 1).term() != read.position().term())) {
            violations.add(read + " saw an entry that is not in the final log");
            return;
        }
        if (index < read.session().index()) {
            violations.add(read + " does not contain the session's position");
        }
        long[] prefix = counterValuesByIndex.get(read.counter());
        if ((prefix == null ? 0 : prefix[(int) index]) != read.value()) {
            violations.add(read + " differs from the log at its position");
        }
        if (read.level() != ReadLevel.SESSION) {
            long before =
                    read.level() == ReadLevel.STRONG
                            ? read.invokedAt()
                            : read.answeredAt() - read.maxAgeNanos();
            Map.Entry<Long, Long> acknowledged = highestAcknowledgedByTime.lowerEntry(before);
            if (acknowledged != null && acknowledged.getValue() > index) {
                violations.add(read + " misses the entry " + acknowledged.getValue());
            }
        }
        Map.Entry<Long, Long> later = lowestInvokedByTime.higherEntry(read.answeredAt());
        if (later != null && later.getValue() <= index) {
            violations.add(read + " saw the later entry " + later.getValue());
        }
        if (read.level() == ReadLevel.STRONG) {
            Map.Entry<Long, Long> earlier = highestStrongReadByTime.lowerEntry(read.invokedAt());
            if (earlier != null && earlier.getValue() > index) {
                violations.add(read + " is older than an earlier read of " + earlier.getValue());
            }
        }
    }

    /** Builds the maps from times to log indexes used to check reads. */
    private void buildIndexes(Map<String, List<Integer>> executed, List<FakeEndpoint.Entry> log) {
        for (int i = 0; i < log.size(); i++) {
            FakeEndpoint.Entry entry = log.get(i);
            for (Operation operation : entry.operations()) {
                if (!entry.cancelled() && operation instanceof Operation.Increment increment) {
                    counterValuesByIndex
                                    .computeIfAbsent(
                                            increment.key(), k -> new long[log.size() + 1])[
                                    i + 1] +=
                            increment.delta();
                }
            }
        }
        counterValuesByIndex.values().forEach(v -> Arrays.parallelPrefix(v, Long::sum));
        for (Write write : writes.values()) {
            for (int at : executed.getOrDefault(write.key, List.of())) {
                highestAcknowledgedByTime.merge(write.answeredAt, (long) at, Math::max);
                lowestInvokedByTime.merge(write.invokedAt, (long) at, Math::min);
            }
        }
        for (Read read : reads) {
            if (read.level() == ReadLevel.STRONG) {
                highestStrongReadByTime.merge(
                        read.answeredAt(), read.position().index(), Math::max);
            }
        }
        accumulate(highestAcknowledgedByTime, Math::max);
        accumulate(highestStrongReadByTime, Math::max);
        accumulate(lowestInvokedByTime.descendingMap(), Math::min);
    }

    private static void accumulate(NavigableMap<Long, Long> byTime, LongBinaryOperator merge) {
        Long before = null;
        for (Map.Entry<Long, Long> entry : byTime.entrySet()) {
            before =
                    before == null ? entry.getValue() : merge.applyAsLong(before, entry.getValue());
            entry.setValue(before);
        }
    }
}
