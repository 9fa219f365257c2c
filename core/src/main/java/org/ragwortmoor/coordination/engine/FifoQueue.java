package org.ragwortmoor.coordination.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;

/** Baseline: first in, first out over all sessions; a request that cannot start blocks others. */
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
    public void serve(Function<Task, Outcome> placer) {
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
    public int ahead(String session) {
        return tasks.size();
    }
}
