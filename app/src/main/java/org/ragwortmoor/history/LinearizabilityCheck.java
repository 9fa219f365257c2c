package org.ragwortmoor.history;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.coordination.engine.ReadLevel;

/**
 * Strong reads and writes of each record are linearizable.
 *
 * <p>Registers: the zone method of Gibbons and Korach for values that are written once. The
 * operations of one value (its write and the strong reads that returned it) have the zone from the
 * earliest answer to the latest invocation. The history is linearizable if and only if no read
 * precedes its write, no two forward zones (earliest answer before latest invocation) overlap, and
 * no backward zone lies within a forward one. Writes of unknown outcome take part only if a strong
 * read saw them, and then end at infinity.
 *
 * <p>Counters: each strong read lies between the increments acknowledged before its invocation and
 * all that were invoked before its answer, and reads of a rising counter never fall from one to a
 * later one. For counters this is necessary, not sufficient.
 *
 * <p>Limits: records are checked one by one; reads of other levels and reads within transactions
 * take no part; records that are removed are skipped.
 */
final class LinearizabilityCheck implements HistoryCheck {
    @Override
    public List<Violation> check(HistoryIndex index) {
        List<Violation> found = new ArrayList<>();
        for (RecordHistory record : index.byKey()) {
            List<Seen> strong =
                    record.reads().stream().filter(LinearizabilityCheck::strong).toList();
            if (record.counter()) {
                counter(record, strong, found);
            } else if (!record.deleted()) {
                register(record, strong, found);
            }
        }
        return found;
    }

    private static boolean strong(Seen seen) {
        return seen.record().request().level() == ReadLevel.STRONG;
    }

    /** The operations of one value of a register. */
    private static final class Zone {
        private final List<HistoryRecord> records = new ArrayList<>();
        private long firstAnswer = Long.MAX_VALUE;
        private long lastInvocation = Long.MIN_VALUE;

        void add(List<HistoryRecord> operation, long invoked, long answered) {
            records.addAll(operation);
            firstAnswer = Math.min(firstAnswer, answered);
            lastInvocation = Math.max(lastInvocation, invoked);
        }

        boolean forward() {
            return firstAnswer < lastInvocation;
        }

        long low() {
            return Math.min(firstAnswer, lastInvocation);
        }

        long high() {
            return Math.max(firstAnswer, lastInvocation);
        }
    }

    private static void register(RecordHistory record, List<Seen> reads, List<Violation> found) {
        Map<String, Zone> zones = new TreeMap<>();
        Zone initial = new Zone();
        initial.add(List.of(), Long.MIN_VALUE, Long.MIN_VALUE);
        for (Seen seen : reads) {
            HistoryRecord read = seen.record();
            if (seen.value() == null) {
                initial.add(List.of(read), read.invoked(), read.answered());
                continue;
            }
            Option<WriteFact> write = record.writer(seen.value());
            if (write.isEmpty()) {
                continue; // AnswerCheck reports values that nobody wrote.
            }
            if (read.answered() < write.get().invoked()) {
                found.add(
                        new Violation(
                                ViolationKind.NOT_LINEARIZABLE,
                                "a read of "
                                        + record.name()
                                        + " returned a value before its write was sent",
                                List.of(read, write.get().first())));
            }
            zone(zones, seen.value(), write.get())
                    .add(List.of(read), read.invoked(), read.answered());
        }
        for (WriteFact write : record.writes()) {
            if (write.outcome() == Outcome.DONE) {
                value(record, write).peek(value -> zone(zones, value, write));
            }
        }
        List<Zone> all = new ArrayList<>(zones.values());
        all.add(initial);
        compare(record, all, found);
    }

    private static Option<String> value(RecordHistory record, WriteFact write) {
        return Option.ofOptional(
                write.operations().stream()
                        .filter(a -> a.op() == Access.Op.PUT)
                        .map(Access::value)
                        .filter(value -> record.writer(value).contains(write))
                        .findFirst());
    }

    private static Zone zone(Map<String, Zone> zones, String value, WriteFact write) {
        return zones.computeIfAbsent(
                value,
                v -> {
                    Zone zone = new Zone();
                    zone.add(write.records(), write.invoked(), write.answered());
                    return zone;
                });
    }

    private static void compare(RecordHistory record, List<Zone> zones, List<Violation> found) {
        zones.sort(Comparator.comparingLong(Zone::low));
        Zone forward = null;
        for (Zone zone : zones) {
            boolean broken =
                    forward != null
                            && (zone.forward()
                                    ? zone.low() < forward.high()
                                    : zone.low() > forward.low() && zone.high() < forward.high());
            if (broken) {
                List<HistoryRecord> records = new ArrayList<>(forward.records);
                records.addAll(zone.records);
                found.add(
                        new Violation(
                                ViolationKind.NOT_LINEARIZABLE,
                                "two values of "
                                        + record.name()
                                        + " were each current before and after the other",
                                records));
                return;
            }
            if (zone.forward() && (forward == null || zone.high() > forward.high())) {
                forward = zone;
            }
        }
    }

    private static void counter(RecordHistory record, List<Seen> reads, List<Violation> found) {
        List<Seen> sorted =
                reads.stream()
                        .sorted(Comparator.comparingLong((Seen s) -> s.record().answered()))
                        .toList();
        for (Seen seen : sorted) {
            long low = bound(record, seen, false);
            long high = bound(record, seen, true);
            if (seen.number() < low || seen.number() > high) {
                List<HistoryRecord> records = new ArrayList<>(List.of(seen.record()));
                record.writes().forEach(w -> records.addAll(w.records()));
                found.add(
                        new Violation(
                                ViolationKind.NOT_LINEARIZABLE,
                                "a strong read of counter "
                                        + record.name()
                                        + " returned "
                                        + seen.value()
                                        + ", the increments allow "
                                        + low
                                        + " to "
                                        + high,
                                records));
                return;
            }
        }
        if (record.rising()) {
            rising(record, sorted, found);
        }
    }

    private static void rising(RecordHistory record, List<Seen> sorted, List<Violation> found) {
        List<Seen> byInvocation =
                sorted.stream()
                        .sorted(Comparator.comparingLong((Seen s) -> s.record().invoked()))
                        .toList();
        int next = 0;
        Seen highest = null;
        for (Seen seen : byInvocation) {
            while (next < sorted.size() && sorted.get(next).record().precedes(seen.record())) {
                Seen earlier = sorted.get(next++);
                highest =
                        highest == null || earlier.number() > highest.number() ? earlier : highest;
            }
            if (highest != null && seen.number() < highest.number()) {
                found.add(
                        new Violation(
                                ViolationKind.NOT_LINEARIZABLE,
                                "strong reads of counter " + record.name() + " went back",
                                List.of(highest.record(), seen.record())));
                return;
            }
        }
    }

    /** Returns the least or greatest value that a strong read of a counter may return. */
    private static long bound(RecordHistory record, Seen seen, boolean greatest) {
        long sum = 0;
        for (WriteFact write : record.writes()) {
            long delta = record.delta(write);
            boolean certain =
                    write.outcome() == Outcome.DONE && write.answered() < seen.record().invoked();
            boolean possible = write.mayHaveRun() && write.invoked() < seen.record().answered();
            if (certain || (possible && greatest == delta > 0)) {
                sum += delta;
            }
        }
        return sum;
    }
}
