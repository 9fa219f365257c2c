package org.ragwortmoor.coordination.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Fair queue: round robin over sessions, FIFO within a session.
 *
 * <p>A session without queued requests is removed, so memory is bounded by the number of queued
 * requests.
 */
final class FairQueue implements WorkQueue {
    /**
     * Maximum number of consecutive requests that are skipped in one dispatch because they cannot
     * start.
     */
    private static final int MAX_SKIPPED = 32;

    private final Map<String, Deque<Task>> bySession = new HashMap<>();
    private final Deque<String> sessionRotation = new ArrayDeque<>();
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
            sessionRotation.addLast(session);
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
                sessionRotation.remove(session);
            }
        }
    }

    @Override
    public void dispatch(Function<Task, Outcome> placer) {
        int skipped = 0;
        while (!sessionRotation.isEmpty()
                && skipped < Math.min(MAX_SKIPPED, sessionRotation.size())) {
            String session = sessionRotation.peekFirst();
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
            if (bySession.containsKey(session) && sessionRotation.remove(session)) {
                sessionRotation.addLast(session);
            }
        }
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public int countAhead(String session) {
        Deque<Task> own = bySession.get(session);
        int before = own == null ? 0 : own.size();
        long fair = (before + 1L) * Math.max(1, sessionRotation.size()) - 1;
        return (int) Math.min(size, fair);
    }
}
