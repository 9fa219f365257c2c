package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Each answer belongs to its own request: it names the keys that were asked for, the request's own
 * idempotency key, and values that were written to these records before the answer. Two writes
 * never share a log position.
 */
final class AnswerCheck implements HistoryCheck {
    @Override
    public List<Violation> check(HistoryIndex index) {
        List<Violation> found = new ArrayList<>();
        for (HistoryRecord record : index.records()) {
            keys(record, found);
        }
        for (RecordHistory record : index.byKey()) {
            record.reads().forEach(seen -> value(record, seen, found));
        }
        positions(index, found);
        return found;
    }

    private static void keys(HistoryRecord record, List<Violation> found) {
        if (!record.done()) {
            return;
        }
        List<String> asked =
                record.request().operations().stream()
                        .filter(a -> !a.writes())
                        .map(Access::key)
                        .toList();
        List<String> answered =
                record.answer().records().stream().map(Answer.Returned::key).toList();
        if (record.request().kind() != RequestKind.OUTCOME && !asked.equals(answered)) {
            found.add(foreign("the answer names other records than the request", record));
        }
        String key = record.answer().key();
        if (key != null && !Objects.equals(key, record.request().key())) {
            found.add(foreign("the answer names the idempotency key of another write", record));
        }
    }

    private static void value(RecordHistory record, Seen seen, List<Violation> found) {
        HistoryRecord read = seen.record();
        if (record.counter()) {
            if (seen.number() < 0 && record.rising()) {
                found.add(foreign("counter " + record.name() + " returned no count", read));
            }
            return;
        }
        if (seen.value() == null) {
            return;
        }
        WriteFact write = record.writer(seen.value()).getOrNull();
        if (write == null) {
            found.add(foreign("nobody wrote the value returned for " + record.name(), read));
        } else if (read.answered() < write.invoked()) {
            found.add(
                    new Violation(
                            ViolationKind.FOREIGN_ANSWER,
                            "a read of " + record.name() + " returned a value of the future",
                            List.of(read, write.first())));
        }
    }

    private static void positions(HistoryIndex index, List<Violation> found) {
        Map<HistoryIndex.GroupKey, WriteFact> byPosition = new HashMap<>();
        for (WriteFact write : index.writes()) {
            if (write.position().isEmpty()
                    || write.operations().stream().noneMatch(Access::writes)) {
                continue;
            }
            HistoryIndex.GroupKey place =
                    new HistoryIndex.GroupKey(
                            write.first().request().group(), write.position().get().toString());
            WriteFact other = byPosition.putIfAbsent(place, write);
            if (other != null) {
                found.add(
                        new Violation(
                                ViolationKind.FOREIGN_ANSWER,
                                "two writes were answered with the position " + place.key(),
                                List.of(other.first(), write.first())));
            }
        }
    }

    private static Violation foreign(String text, HistoryRecord record) {
        return new Violation(ViolationKind.FOREIGN_ANSWER, text, List.of(record));
    }
}
