package org.ragwortmoor.coordination.engine;

import java.util.PriorityQueue;

/** Timer queue. Actions with equal times run in the order of registration. */
final class Timers {
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();

    /** Number of cancelled timers above which the queue is compacted, if they are the majority. */
    private static final int COMPACTION_THRESHOLD = 1_000;

    private long sequence;
    private int cancelled;

    /** A scheduled action. */
    final class Timer implements Comparable<Timer> {
        private final long at;
        private final long sequence;
        private Runnable action;

        private Timer(long at, long sequence, Runnable action) {
            this.at = at;
            this.sequence = sequence;
            this.action = action;
        }

        /** Prevents the action from running. */
        void cancel() {
            if (action != null) {
                action = null;
                cancelled++;
                compact();
            }
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    Timer schedule(long time, Runnable action) {
        Timer timer = new Timer(time, sequence++, action);
        queue.add(timer);
        return timer;
    }

    private void compact() {
        if (cancelled > COMPACTION_THRESHOLD && cancelled > queue.size() / 2) {
            queue.removeIf(timer -> timer.action == null);
            cancelled = 0;
        }
    }

    void runDue(long now) {
        while (!queue.isEmpty() && queue.peek().at <= now) {
            Timer timer = queue.poll();
            Runnable action = timer.action;
            timer.action = null;
            if (action == null) {
                cancelled--;
            } else {
                action.run();
            }
        }
    }

    /** Returns the time of the next action, or {@code Long.MAX_VALUE} if there is none. */
    long next() {
        while (!queue.isEmpty() && queue.peek().action == null) {
            queue.poll();
            cancelled--;
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at;
    }
}
