package org.ragwortmoor.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks after a delay and never out of order, even if the delay becomes shorter. Confined to
 * its event loop.
 */
final class DelayLine {
    private final EventLoop loop;
    private final Queue<Delayed> waiting = new ArrayDeque<>();
    private long latest = Long.MIN_VALUE;

    private record Delayed(long dueNanos, Runnable task) {}

    DelayLine(EventLoop loop) {
        this.loop = loop;
    }

    void offer(long delayMicros, Runnable task) {
        if (delayMicros <= 0 && waiting.isEmpty()) {
            task.run();
            return;
        }
        long due = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(delayMicros);
        if (!waiting.isEmpty() && due - latest < 0) {
            due = latest;
        }
        latest = due;
        waiting.add(new Delayed(due, task));
        if (waiting.size() == 1) {
            schedule(due);
        }
    }

    private void schedule(long dueNanos) {
        long delay = Math.max(0, dueNanos - System.nanoTime());
        Frames.after(loop, delay, TimeUnit.NANOSECONDS, this::drain);
    }

    private void drain() {
        while (!waiting.isEmpty() && waiting.element().dueNanos() - System.nanoTime() <= 0) {
            // The task stays first until it has run, so that a task that it offers waits behind.
            try {
                waiting.element().task().run();
            } finally {
                waiting.remove();
            }
        }
        if (!waiting.isEmpty()) {
            schedule(waiting.element().dueNanos());
        }
    }
}
