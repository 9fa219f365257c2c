package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes of several records are seen whole or not at all, and a transaction commits only if what it
 * had read was still current in the log.
 *
 * <p>Whole: a read that returns one of a write's values must not, within the same answer, return an
 * older value of another record of that write. The final reads of a group count as one answer.
 */
final class TransactionCheck implements HistoryCheck {
    @Override
    public List<Violation> check(HistoryIndex index) {
        List<Violation> found = new ArrayList<>();
        Map<String, List<Seen>> last = new HashMap<>();
        for (HistoryRecord record : index.records()) {
            if (record.request().kind() == RequestKind.FINAL) {
                last.computeIfAbsent(record.request().group(), g -> new ArrayList<>())
                        .addAll(index.seen(record));
            } else {
                whole(index.seen(record), found);
            }
            if (record.request().kind() == RequestKind.TRANSACTION && record.done()) {
                unmixed(record, index, found);
            }
        }
        last.values().forEach(seen -> whole(seen, found));
        return found;
    }

    private static void whole(List<Seen> answer, List<Violation> found) {
        if (answer.size() < 2) {
            return;
        }
        Map<RecordHistory, Seen> byRecord = new HashMap<>();
        answer.forEach(seen -> byRecord.put(seen.history(), seen));
        for (Seen seen : answer) {
            if (seen.value() == null || seen.history().counter()) {
                continue;
            }
            seen.history().writer(seen.value()).peek(w -> parts(w, seen, byRecord, found));
        }
    }

    private static void parts(
            WriteFact write, Seen seen, Map<RecordHistory, Seen> byRecord, List<Violation> found) {
        for (Seen other : byRecord.values()) {
            boolean part = !other.equals(seen) && other.history().writes().contains(write);
            if (part && other.lacks(write)) {
                List<HistoryRecord> records = new ArrayList<>(write.records());
                records.add(seen.record());
                records.add(other.record());
                found.add(
                        new Violation(
                                ViolationKind.TRANSACTION_TORN,
                                "a write was seen at "
                                        + seen.history().name()
                                        + " and not at "
                                        + other.history().name(),
                                records));
                return;
            }
        }
    }

    private static void unmixed(
            HistoryRecord transaction, HistoryIndex index, List<Violation> found) {
        WriteFact own = index.write(transaction).getOrNull();
        if (own == null || own.position().isEmpty()) {
            return;
        }
        for (Seen seen : index.seen(transaction)) {
            WriteFact source =
                    seen.value() == null ? null : seen.history().writer(seen.value()).getOrNull();
            if (seen.history().counter() || (seen.value() != null && source == null)) {
                continue;
            }
            for (WriteFact between : seen.history().writes()) {
                if (!between.equals(own) && between(source, between, own)) {
                    found.add(
                            new Violation(
                                    ViolationKind.TRANSACTIONS_MIXED,
                                    "a transaction read "
                                            + seen.history().name()
                                            + ", another write changed it, and the transaction"
                                            + " committed nevertheless",
                                    List.of(transaction, between.first())));
                    return;
                }
            }
        }
    }

    private static boolean between(WriteFact source, WriteFact other, WriteFact own) {
        if (other.position().isEmpty() || (source != null && source.position().isEmpty())) {
            return false;
        }
        long start = source == null ? 0 : source.position().get().index();
        long index = other.position().get().index();
        return start < index && index < own.position().get().index();
    }
}
