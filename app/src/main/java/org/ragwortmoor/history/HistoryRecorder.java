package org.ragwortmoor.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Records requests of concurrent callers. Safe for concurrent use. */
public final class HistoryRecorder {
    private final LongSupplier clock;
    private final AtomicLong lastId = new AtomicLong();
    private final Map<Long, Open> open = new ConcurrentHashMap<>();
    private final Queue<HistoryRecord> closed = new ConcurrentLinkedQueue<>();

    private record Open(long invoked, Request request) {}

    /** Creates a recorder that reads {@code clock}, in monotonic nanoseconds. */
    public HistoryRecorder(LongSupplier clock) {
        this.clock = clock;
    }

    /** Notes that a request is about to be sent; returns its number. */
    public long invoke(Request request) {
        long id = lastId.incrementAndGet();
        open.put(id, new Open(clock.getAsLong(), request));
        return id;
    }

    /** Notes the answer to the request with this number; a second answer is ignored. */
    public void answer(long id, Answer answer) {
        Open request = open.remove(id);
        if (request != null) {
            closed.add(
                    new HistoryRecord(
                            id, request.invoked, clock.getAsLong(), request.request, answer));
        }
    }

    /** Returns all records by number; requests without an answer count as unknown. */
    public List<HistoryRecord> records() {
        List<HistoryRecord> all = new ArrayList<>(closed);
        long now = clock.getAsLong();
        open.forEach(
                (id, request) ->
                        all.add(
                                new HistoryRecord(
                                        id,
                                        request.invoked,
                                        now,
                                        request.request,
                                        Answer.of(Outcome.UNKNOWN, "NO_ANSWER"))));
        all.sort(Comparator.comparingLong(HistoryRecord::id));
        return List.copyOf(all);
    }
}
