package org.ragwortmoor.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Executes a fixed number of statements at a time and queues the rest, first in first out. The
 * length of a statement is simulated by a timer. Confined to its event loop.
 */
final class SlotQueue {
    private final EventLoop loop;
    private final int slots;
    private final int limit;
    private final Queue<Statement> waiting = new ArrayDeque<>();
    private int running;

    /** Receives the end of a statement. */
    interface Completion {
        /** Called when the simulated time is over, with the time that the statement waited. */
        void ended(long queuedMicros);
    }

    private record Statement(
            Object owner, long serviceMicros, long arrivedNanos, Completion completion) {}

    SlotQueue(EventLoop loop, int slots, int limit) {
        this.loop = loop;
        this.slots = slots;
        this.limit = limit;
    }

    /** Starts or queues a statement; returns false if the queue is full. */
    boolean submit(Object owner, long serviceMicros, Completion completion) {
        Statement statement = new Statement(owner, serviceMicros, System.nanoTime(), completion);
        if (running < slots) {
            start(statement);
            return true;
        }
        if (waiting.size() >= limit) {
            return false;
        }
        waiting.add(statement);
        return true;
    }

    /** Removes the waiting statement of an owner; returns whether there was one. */
    boolean withdraw(Object owner) {
        for (Iterator<Statement> i = waiting.iterator(); i.hasNext(); ) {
            if (i.next().owner() == owner) {
                i.remove();
                return true;
            }
        }
        return false;
    }

    int running() {
        return running;
    }

    int queued() {
        return waiting.size();
    }

    private void start(Statement statement) {
        running++;
        long queuedMicros =
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - statement.arrivedNanos());
        if (statement.serviceMicros() <= 0) {
            end(statement, queuedMicros);
            return;
        }
        Frames.after(
                loop,
                statement.serviceMicros(),
                TimeUnit.MICROSECONDS,
                () -> end(statement, queuedMicros));
    }

    private void end(Statement statement, long queuedMicros) {
        running--;
        statement.completion().ended(queuedMicros);
        while (running < slots && !waiting.isEmpty()) {
            start(waiting.remove());
        }
    }
}
