package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Each session reads its own writes and never goes back, through whatever proxies it uses.
 *
 * <p>Counters are compared by value if they never fall. Records that are removed are not checked,
 * because their absence does not tell which state was seen.
 */
final class SessionCheck implements HistoryCheck {
    @Override
    public List<Violation> check(HistoryIndex index) {
        List<Violation> found = new ArrayList<>();
        for (List<HistoryRecord> session : index.sessions()) {
            check(session, index, found);
        }
        return found;
    }

    private static void check(
            List<HistoryRecord> session, HistoryIndex index, List<Violation> found) {
        Map<RecordHistory, WriteFact> own = new HashMap<>();
        Map<RecordHistory, Seen> last = new HashMap<>();
        HistoryRecord before = null;
        for (HistoryRecord record : session) {
            if (before != null && record.invoked() < before.answered()) {
                found.add(
                        new Violation(
                                ViolationKind.UNUSABLE_HISTORY,
                                "two requests of session "
                                        + record.request().session()
                                        + " overlap, so their order is unknown",
                                List.of(before, record)));
                return;
            }
            before = record;
            for (Seen seen : index.seen(record)) {
                WriteFact write = own.get(seen.history());
                if (write != null && unseen(seen, write)) {
                    found.add(ownUnseen(seen, write));
                }
                Seen earlier = last.put(seen.history(), seen);
                if (earlier != null && wentBack(earlier, seen)) {
                    found.add(back(earlier, seen));
                }
            }
            if (record.done()) {
                index.write(record).peek(write -> remember(write, record, index, own));
            }
        }
    }

    private static void remember(
            WriteFact write,
            HistoryRecord record,
            HistoryIndex index,
            Map<RecordHistory, WriteFact> own) {
        for (Access access : write.operations()) {
            if (access.writes()) {
                // The newest write of the session includes what the older ones guarantee.
                own.put(index.byKey(record.request().group(), access.key()), write);
            }
        }
    }

    private static boolean unseen(Seen seen, WriteFact write) {
        RecordHistory history = seen.history();
        if (!history.rising()) {
            return seen.lacks(write);
        }
        long least = history.acknowledgedBefore(write.invoked()) + history.delta(write);
        return seen.number() < least;
    }

    private static boolean wentBack(Seen earlier, Seen seen) {
        RecordHistory history = seen.history();
        if (history.rising()) {
            return seen.number() < earlier.number();
        }
        return earlier.value() != null
                && history.writer(earlier.value()).exists(write -> seen.lacks(write));
    }

    private static Violation ownUnseen(Seen seen, WriteFact write) {
        List<HistoryRecord> records = new ArrayList<>(write.records());
        records.add(seen.record());
        return new Violation(
                ViolationKind.OWN_WRITE_UNSEEN,
                "session "
                        + seen.record().request().session()
                        + " read "
                        + seen.history().name()
                        + " without its own acknowledged write",
                records);
    }

    private static Violation back(Seen earlier, Seen seen) {
        return new Violation(
                ViolationKind.READ_WENT_BACK,
                "session "
                        + seen.record().request().session()
                        + " read "
                        + seen.history().name()
                        + " older than before",
                List.of(earlier.record(), seen.record()));
    }
}
