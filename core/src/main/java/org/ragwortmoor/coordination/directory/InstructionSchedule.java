package org.ragwortmoor.coordination.directory;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Spaces the repetitions of an instruction to each server: the interval doubles up to a maximum as
 * long as the server does not follow it. A server that has started again is instructed at once.
 */
final class InstructionSchedule {
    private final long firstIntervalNanos;
    private final long maxIntervalNanos;
    private final Map<String, Repetition> repetitions = new HashMap<>();

    private record Repetition(long startedAtMillis, long intervalNanos, long nextAt) {}

    InstructionSchedule(long firstIntervalNanos, long maxIntervalNanos) {
        this.firstIntervalNanos = firstIntervalNanos;
        this.maxIntervalNanos = maxIntervalNanos;
    }

    /** Forgets what was sent. */
    void clear() {
        repetitions.clear();
    }

    /** Returns whether the instruction is due, and counts it as sent if so. */
    boolean send(ServerRecord server, long now) {
        Repetition last = repetitions.get(server.id());
        boolean first = last == null || last.startedAtMillis() != server.startedAtMillis();
        if (!first && now - last.nextAt() < 0) {
            return false;
        }
        long interval =
                first ? firstIntervalNanos : Math.min(2 * last.intervalNanos(), maxIntervalNanos);
        repetitions.put(
                server.id(), new Repetition(server.startedAtMillis(), interval, now + interval));
        return true;
    }
}
