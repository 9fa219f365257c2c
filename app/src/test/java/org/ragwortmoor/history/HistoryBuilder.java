package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.ragwortmoor.coordination.engine.ReadLevel;

/** Builds histories of one group for tests; times are in milliseconds. */
final class HistoryBuilder {
    private static final long MILLI = 1_000_000;
    private final List<HistoryRecord> records = new ArrayList<>();

    List<HistoryRecord> build() {
        return List.copyOf(records);
    }

    HistoryBuilder add(long from, long to, Request request, Answer answer) {
        records.add(
                new HistoryRecord(records.size() + 1L, from * MILLI, to * MILLI, request, answer));
        return this;
    }

    private static Request request(
            String session,
            RequestKind kind,
            List<Access> operations,
            String key,
            ReadLevel level,
            long age) {
        return new Request(session, "p", "proxy", kind, "g", operations, key, false, level, age);
    }

    /** A write of {@code operations}; {@code index} 0 stands for an answer without position. */
    HistoryBuilder write(
            long from, long to, String session, String id, Outcome out, int index, Access... ops) {
        Answer answer =
                out == Outcome.DONE
                        ? Answer.done(List.of(), index == 0 ? null : "1:" + index, id)
                        : Answer.of(out, "X");
        return add(
                from,
                to,
                request(session, RequestKind.WRITE, Arrays.asList(ops), id, null, 0),
                answer);
    }

    HistoryBuilder put(long from, long to, String session, String key, String value) {
        return write(from, to, session, "id-" + value, Outcome.DONE, 0, Access.put(key, value));
    }

    HistoryBuilder outcome(long from, long to, String session, String id, Outcome out) {
        return add(
                from,
                to,
                request(session, RequestKind.OUTCOME, List.of(), id, null, 0),
                Answer.of(out, null));
    }

    /** A read of alternating keys and values. */
    HistoryBuilder read(
            long from, long to, String session, ReadLevel level, long age, String... found) {
        return read(from, to, session, RequestKind.READ, level, age, found);
    }

    HistoryBuilder read(long from, long to, String session, String... found) {
        return read(from, to, session, ReadLevel.SESSION, 0, found);
    }

    /** The final strong read of alternating keys and values, long after everything else. */
    HistoryBuilder end(String... found) {
        return read(90_000, 90_001, "final", RequestKind.FINAL, ReadLevel.STRONG, 0, found);
    }

    private HistoryBuilder read(
            long from,
            long to,
            String session,
            RequestKind kind,
            ReadLevel level,
            long age,
            String... found) {
        List<Access> gets = new ArrayList<>();
        List<Answer.Returned> returned = new ArrayList<>();
        for (int i = 0; i < found.length; i += 2) {
            gets.add(Access.get(found[i]));
            returned.add(new Answer.Returned(found[i], found[i + 1]));
        }
        return add(
                from,
                to,
                request(session, kind, gets, null, level, age),
                Answer.done(returned, "1:1", null));
    }

    /** A transaction that read {@code key} as {@code seen} and then put {@code value}. */
    HistoryBuilder transaction(
            long from, long to, String session, int index, String key, String seen, String value) {
        String id = "id-" + value;
        return add(
                from,
                to,
                request(
                        session,
                        RequestKind.TRANSACTION,
                        List.of(Access.get(key), Access.put(key, value)),
                        id,
                        null,
                        0),
                Answer.done(List.of(new Answer.Returned(key, seen)), "1:" + index, id));
    }
}
