package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.List;

/**
 * The final read contains each acknowledged write, and no read contains a write that was not run.
 *
 * <p>A register's write may have been replaced by a later or a concurrent one. A counter lies
 * between the sum of its acknowledged increments and that sum plus the unknown ones, each counted
 * once per idempotency key.
 */
final class EffectCheck implements HistoryCheck {
    @Override
    public List<Violation> check(HistoryIndex index) {
        List<Violation> found = new ArrayList<>();
        for (RecordHistory record : index.byKey()) {
            boolean read = false;
            for (Seen seen : record.reads()) {
                notRun(record, seen, found);
                if (seen.record().request().kind() == RequestKind.FINAL) {
                    read = true;
                    lost(record, seen, found);
                }
            }
            if (!read && record.writes().stream().anyMatch(w -> w.outcome() == Outcome.DONE)) {
                found.add(
                        new Violation(
                                ViolationKind.UNUSABLE_HISTORY,
                                "there is no answered final read of " + record.name(),
                                record.writes().get(0).records()));
            }
        }
        return found;
    }

    private static void notRun(RecordHistory record, Seen seen, List<Violation> found) {
        if (record.counter()) {
            return;
        }
        record.writer(seen.value())
                .filter(w -> !w.mayHaveRun())
                .peek(
                        write ->
                                found.add(
                                        violation(
                                                ViolationKind.NOT_RUN_APPLIED,
                                                "a read of "
                                                        + record.name()
                                                        + " returned the value of a write that was"
                                                        + " answered \"not run\"",
                                                write,
                                                seen)));
    }

    private static void lost(RecordHistory record, Seen seen, List<Violation> found) {
        if (record.counter()) {
            sum(record, seen, found);
            return;
        }
        for (WriteFact write : record.writes()) {
            if (write.outcome() == Outcome.DONE
                    && write.answered() < seen.record().invoked()
                    && seen.lacks(write)) {
                found.add(
                        violation(
                                ViolationKind.ACKNOWLEDGED_LOST,
                                "the final read of "
                                        + record.name()
                                        + " is older than an acknowledged write",
                                write,
                                seen));
                return;
            }
        }
    }

    private static void sum(RecordHistory record, Seen seen, List<Violation> found) {
        long low = 0;
        long high = 0;
        List<HistoryRecord> concerned = new ArrayList<>(List.of(seen.record()));
        for (WriteFact write : record.writes()) {
            long delta = record.delta(write);
            if (write.outcome() == Outcome.DONE) {
                low += delta;
                high += delta;
            } else if (write.outcome() == Outcome.UNKNOWN) {
                low += Math.min(0, delta);
                high += Math.max(0, delta);
            }
            concerned.addAll(write.records());
        }
        Long value = RecordHistory.number(seen.value()).getOrNull();
        String bounds =
                "the final value of counter "
                        + record.name()
                        + " is "
                        + seen.value()
                        + ", its increments allow "
                        + low
                        + " to "
                        + high;
        if (value == null || value < low) {
            found.add(new Violation(ViolationKind.ACKNOWLEDGED_LOST, bounds, concerned));
        } else if (value > high) {
            boolean refused = record.writes().stream().anyMatch(w -> !w.mayHaveRun());
            String hint =
                    refused ? "; an increment ran twice, or one answered \"not run\" ran" : "";
            found.add(new Violation(ViolationKind.COUNTED_TWICE, bounds + hint, concerned));
        }
    }

    private static Violation violation(
            ViolationKind kind, String text, WriteFact write, Seen seen) {
        List<HistoryRecord> records = new ArrayList<>(write.records());
        records.add(seen.record());
        return new Violation(kind, text, records);
    }
}
