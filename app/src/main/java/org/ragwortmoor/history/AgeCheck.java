package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.engine.ReadLevel;

/**
 * No read with a stated age lacks a write that was acknowledged longer ago than that age, counted
 * back from the invocation; the data may thus be as old as the age plus the request's duration.
 */
final class AgeCheck implements HistoryCheck {
    @Override
    public List<Violation> check(HistoryIndex index) {
        List<Violation> found = new ArrayList<>();
        for (RecordHistory record : index.byKey()) {
            for (Seen seen : record.reads()) {
                if (seen.record().request().level() == ReadLevel.AGE) {
                    check(record, seen, found);
                }
            }
        }
        return found;
    }

    private static void check(RecordHistory record, Seen seen, List<Violation> found) {
        HistoryRecord read = seen.record();
        long oldest = read.invoked() - TimeUnit.MILLISECONDS.toNanos(read.request().maxAgeMillis());
        for (WriteFact write : record.writes()) {
            boolean required = write.outcome() == Outcome.DONE && write.answered() < oldest;
            boolean lacking =
                    record.rising()
                            ? seen.number() < record.acknowledgedBefore(oldest)
                            : seen.lacks(write);
            if (required && lacking) {
                List<HistoryRecord> records = new ArrayList<>(write.records());
                records.add(read);
                found.add(
                        new Violation(
                                ViolationKind.TOO_OLD,
                                "a read of "
                                        + record.name()
                                        + " with the accepted age "
                                        + read.request().maxAgeMillis()
                                        + " ms lacks a write that was acknowledged "
                                        + TimeUnit.NANOSECONDS.toMillis(
                                                read.invoked() - write.answered())
                                        + " ms before it was sent",
                                records));
                return;
            }
        }
    }
}
