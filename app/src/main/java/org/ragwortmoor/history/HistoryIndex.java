package org.ragwortmoor.history;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.Position;

/** A history sorted by record, write and session. Confined to one thread. */
final class HistoryIndex {
    private final List<HistoryRecord> records;
    private final Map<GroupKey, RecordHistory> byKey = new LinkedHashMap<>();
    private final Map<GroupKey, WriteFact> byIdempotencyKey = new LinkedHashMap<>();
    private final IdentityHashMap<HistoryRecord, List<Seen>> seen = new IdentityHashMap<>();
    private final Map<String, List<HistoryRecord>> bySession = new LinkedHashMap<>();

    /** A key within a group; also used for idempotency keys. */
    record GroupKey(String group, String key) {}

    HistoryIndex(List<HistoryRecord> given) {
        records = given.stream().sorted(Comparator.comparingLong(HistoryRecord::invoked)).toList();
        Map<GroupKey, List<HistoryRecord>> attempts = new LinkedHashMap<>();
        for (HistoryRecord record : records) {
            Request request = record.request();
            bySession.computeIfAbsent(request.session(), s -> new ArrayList<>()).add(record);
            if (request.key() != null) {
                attempts.computeIfAbsent(
                                new GroupKey(request.group(), request.key()),
                                k -> new ArrayList<>())
                        .add(record);
            }
            addReads(record);
        }
        attempts.forEach(this::addWrite);
    }

    private void addReads(HistoryRecord record) {
        List<Access> gets =
                record.request().operations().stream().filter(a -> !a.writes()).toList();
        List<Answer.Returned> found = record.answer().records();
        if (!record.done() || gets.size() != found.size()) {
            return;
        }
        Set<String> written = new LinkedHashSet<>();
        int next = 0;
        for (Access access : record.request().operations()) {
            if (access.writes()) {
                written.add(access.key());
            } else {
                Answer.Returned returned = found.get(next++);
                // A read of the transaction's own change says nothing about the stored record.
                if (access.key().equals(returned.key()) && !written.contains(access.key())) {
                    RecordHistory history = history(record.request().group(), access.key());
                    seen.computeIfAbsent(record, r -> new ArrayList<>())
                            .add(history.add(record, returned.value()));
                }
            }
        }
    }

    private void addWrite(GroupKey id, List<HistoryRecord> attempts) {
        List<HistoryRecord> runs =
                attempts.stream().filter(r -> r.request().kind() != RequestKind.OUTCOME).toList();
        if (runs.isEmpty()) {
            return;
        }
        List<HistoryRecord> done = attempts.stream().filter(HistoryRecord::done).toList();
        Option<Position> position =
                Option.ofOptional(
                        done.stream()
                                .flatMap(r -> r.answer().logPosition().toJavaStream())
                                .findFirst());
        WriteFact write =
                new WriteFact(
                        outcome(attempts),
                        runs.get(0).invoked(),
                        done.stream()
                                .mapToLong(HistoryRecord::answered)
                                .min()
                                .orElse(Long.MAX_VALUE),
                        position,
                        runs.get(0).request().operations(),
                        attempts);
        byIdempotencyKey.put(id, write);
        write.operations().stream()
                .filter(Access::writes)
                .map(Access::key)
                .distinct()
                .forEach(key -> history(id.group(), key).add(write));
    }

    /**
     * "Done" wins over every other answer. The answer "not run" to a question for the outcome
     * settles the attempts that were sent before it.
     */
    private static Outcome outcome(List<HistoryRecord> attempts) {
        Outcome outcome = Outcome.NOT_RUN;
        for (HistoryRecord attempt : attempts) {
            Outcome stated = attempt.answer().outcome();
            if (stated == Outcome.DONE) {
                return Outcome.DONE;
            }
            if (attempt.request().kind() == RequestKind.OUTCOME) {
                outcome = stated == Outcome.NOT_RUN ? Outcome.NOT_RUN : outcome;
            } else if (stated == Outcome.UNKNOWN) {
                outcome = Outcome.UNKNOWN;
            }
        }
        return outcome;
    }

    private RecordHistory history(String group, String key) {
        return byKey.computeIfAbsent(
                new GroupKey(group, key), k -> new RecordHistory(k.group(), k.key()));
    }

    /** Returns all records in the order of invocation. */
    List<HistoryRecord> records() {
        return records;
    }

    /** Returns the histories of all database records. */
    Collection<RecordHistory> byKey() {
        return byKey.values();
    }

    /** Returns the values that a request returned. */
    List<Seen> seen(HistoryRecord record) {
        return seen.getOrDefault(record, List.of());
    }

    /** Returns the history of a database record; it is empty if no request named the record. */
    RecordHistory byKey(String group, String key) {
        RecordHistory found = byKey.get(new GroupKey(group, key));
        return found == null ? new RecordHistory(group, key) : found;
    }

    /** Returns all writes. */
    Collection<WriteFact> writes() {
        return byIdempotencyKey.values();
    }

    /** Returns the write to which an attempt belongs. */
    Option<WriteFact> write(HistoryRecord attempt) {
        return Option.of(
                byIdempotencyKey.get(
                        new GroupKey(attempt.request().group(), attempt.request().key())));
    }

    /** Returns the records of each session in the order of invocation. */
    Collection<List<HistoryRecord>> sessions() {
        return bySession.values();
    }
}
