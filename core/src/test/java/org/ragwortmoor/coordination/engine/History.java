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

/** Invocations and answers of one run, checked against the final log of the group. */
final class History {
    /** What the caller knows of a write. */
    enum Outcome {
        DONE,
        NOT_RUN,
        UNKNOWN
    }

    /** A logical write, identified by its key. */
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
    private final Map<String, long[]> values = new HashMap<>();

    private final TreeMap<Long, Long> acknowledgedUpTo = new TreeMap<>();
    private final TreeMap<Long, Long> strongUpTo = new TreeMap<>();
    private final TreeMap<Long, Long> invokedFrom = new TreeMap<>();

    Write write(String key, List<Operation> operations, long now) {
        return writes.computeIfAbsent(key, k -> new Write(k, operations, now));
    }

    int acknowledged() {
        return (int) writes.values().stream().filter(w -> w.outcome == Outcome.DONE).count();
    }

    /** Returns what contradicts the promises, given the final log. */
    List<String> violations(List<FakeEndpoint.Entry> log) {
        List<String> found = new ArrayList<>();
        Map<String, List<Integer>> executed = new HashMap<>();
        for (int i = 1; i <= log.size(); i++) {
            FakeEndpoint.Entry entry = log.get(i - 1);
            if (entry.identity() != null && !entry.cancelled()) {
                executed.computeIfAbsent(entry.identity().key(), k -> new ArrayList<>()).add(i);
            }
        }
        index(executed, log);
        for (Write write : writes.values()) {
            checkWrite(write, executed.getOrDefault(write.key, List.of()), log, found);
        }
        for (Read read : reads) {
            checkRead(read, log, found);
        }
        return found;
    }

    private static void checkWrite(
            Write write, List<Integer> at, List<FakeEndpoint.Entry> log, List<String> found) {
        if (at.size() > 1) {
            found.add(write.key + " was executed " + at.size() + " times");
        }
        if (write.outcome == Outcome.DONE && at.isEmpty()) {
            found.add(write.key + " was acknowledged and is lost");
        }
        if (write.outcome == Outcome.NOT_RUN && !at.isEmpty()) {
            found.add(write.key + " was reported as not run and was executed");
        }
        if (at.isEmpty()) {
            return;
        }
        FakeEndpoint.Entry entry = log.get(at.get(0) - 1);
        if (!entry.operations().equals(write.operations)) {
            found.add(write.key + " was executed with the operations " + entry.operations());
        }
        Position actual = new Position(entry.term(), at.get(0));
        if (write.outcome == Outcome.DONE && !write.position.equals(actual)) {
            found.add(write.key + " was answered with a position other than " + actual);
        }
    }

    private void checkRead(Read read, List<FakeEndpoint.Entry> log, List<String> found) {
        long index = read.position().index();
        if (index > log.size()
                || (index > 0 && log.get((int) index - 1).term() != read.position().term())) {
            found.add(read + " saw an entry that is not in the final log");
            return;
        }
        if (index < read.session().index()) {
            found.add(read + " does not contain the session's position");
        }
        long[] prefix = values.get(read.counter());
        if ((prefix == null ? 0 : prefix[(int) index]) != read.value()) {
            found.add(read + " differs from the log at its position");
        }
        if (read.level() != ReadLevel.SESSION) {
            long before =
                    read.level() == ReadLevel.STRONG
                            ? read.invokedAt()
                            : read.answeredAt() - read.maxAgeNanos();
            Map.Entry<Long, Long> acknowledged = acknowledgedUpTo.lowerEntry(before);
            if (acknowledged != null && acknowledged.getValue() > index) {
                found.add(read + " misses the entry " + acknowledged.getValue());
            }
        }
        Map.Entry<Long, Long> later = invokedFrom.higherEntry(read.answeredAt());
        if (later != null && later.getValue() <= index) {
            found.add(read + " saw the later entry " + later.getValue());
        }
        if (read.level() == ReadLevel.STRONG) {
            Map.Entry<Long, Long> earlier = strongUpTo.lowerEntry(read.invokedAt());
            if (earlier != null && earlier.getValue() > index) {
                found.add(read + " is older than an earlier read of " + earlier.getValue());
            }
        }
    }

    /** Fills the tables from times to log indexes that the checks of reads use. */
    private void index(Map<String, List<Integer>> executed, List<FakeEndpoint.Entry> log) {
        for (int i = 0; i < log.size(); i++) {
            FakeEndpoint.Entry entry = log.get(i);
            for (Operation operation : entry.operations()) {
                if (!entry.cancelled() && operation instanceof Operation.Increment increment) {
                    values.computeIfAbsent(increment.key(), k -> new long[log.size() + 1])[i + 1] +=
                            increment.delta();
                }
            }
        }
        values.values().forEach(v -> Arrays.parallelPrefix(v, Long::sum));
        for (Write write : writes.values()) {
            for (int at : executed.getOrDefault(write.key, List.of())) {
                acknowledgedUpTo.merge(write.answeredAt, (long) at, Math::max);
                invokedFrom.merge(write.invokedAt, (long) at, Math::min);
            }
        }
        for (Read read : reads) {
            if (read.level() == ReadLevel.STRONG) {
                strongUpTo.merge(read.answeredAt(), read.position().index(), Math::max);
            }
        }
        accumulate(acknowledgedUpTo, Math::max);
        accumulate(strongUpTo, Math::max);
        accumulate(invokedFrom.descendingMap(), Math::min);
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
