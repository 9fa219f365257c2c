package org.ragwortmoor.coordination.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** Baseline queue: FIFO over all sessions, with head-of-line blocking. */
final class FifoQueue implements WorkQueue {
    private final Deque<Task> tasks = new ArrayDeque<>();

    @Override
    public void add(Task task) {
        tasks.addLast(task);
    }

    @Override
    public void addFirst(Task task) {
        tasks.addFirst(task);
    }

    @Override
    public void remove(Task task) {
        tasks.remove(task);
    }

    @Override
    public void dispatch(Function<Task, Outcome> placer) {
        while (!tasks.isEmpty()) {
            Task head = tasks.peekFirst();
            if (placer.apply(head) != Outcome.TAKEN) {
                return;
            }
            tasks.remove(head);
        }
    }

    @Override
    public int size() {
        return tasks.size();
    }

    @Override
    public int countAhead(String session) {
        return tasks.size();
    }
}
