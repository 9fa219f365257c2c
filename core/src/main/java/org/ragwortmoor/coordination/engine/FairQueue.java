package org.ragwortmoor.coordination.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Round robin over sessions, first in first out within one.
 *
 * <p>A session leaves the tables with its last waiting request, so memory is bounded by the number
 * of waiting requests.
 */
final class FairQueue implements WorkQueue {
    /** Bounds the search for a request that can start; more are looked at on the next change. */
    private static final int MAX_SKIPPED = 32;

    private final Map<String, Deque<Task>> bySession = new HashMap<>();
    private final Deque<String> ring = new ArrayDeque<>();
    private int size;

    @Override
    public void add(Task task) {
        session(task).addLast(task);
        size++;
    }

    @Override
    public void addFirst(Task task) {
        session(task).addFirst(task);
        size++;
    }

    private Deque<Task> session(Task task) {
        String session = task.request().session();
        Deque<Task> tasks = bySession.get(session);
        if (tasks == null) {
            tasks = new ArrayDeque<>();
            bySession.put(session, tasks);
            ring.addLast(session);
        }
        return tasks;
    }

    @Override
    public void remove(Task task) {
        String session = task.request().session();
        Deque<Task> tasks = bySession.get(session);
        if (tasks != null && tasks.remove(task)) {
            size--;
            if (tasks.isEmpty()) {
                bySession.remove(session);
                ring.remove(session);
            }
        }
    }

    @Override
    public void serve(Function<Task, Outcome> placer) {
        int skipped = 0;
        while (!ring.isEmpty() && skipped < Math.min(MAX_SKIPPED, ring.size())) {
            String session = ring.peekFirst();
            Task head = bySession.get(session).peekFirst();
            Outcome outcome = placer.apply(head);
            if (outcome == Outcome.STOP) {
                return;
            }
            if (outcome == Outcome.SKIPPED) {
                skipped++;
            } else {
                skipped = 0;
            }
            if (outcome == Outcome.TAKEN) {
                remove(head);
            }
            if (bySession.containsKey(session) && ring.remove(session)) {
                ring.addLast(session);
            }
        }
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public int ahead(String session) {
        Deque<Task> own = bySession.get(session);
        int before = own == null ? 0 : own.size();
        long fair = (before + 1L) * Math.max(1, ring.size()) - 1;
        return (int) Math.min(size, fair);
    }
}
