package org.ragwortmoor.coordination.engine;

import java.util.PriorityQueue;

/** Virtual clock with an event queue. Events with equal times run in the order of registration. */
final class VirtualTime {
    static final long MILLI = 1_000_000L;

    private record Event(long at, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.sequence(), b.sequence()));
    private long now;
    private long sequence;

    long now() {
        return now;
    }

    void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), sequence++, action));
    }

    void after(long nanos, Runnable action) {
        at(now + nanos, action);
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }
}
