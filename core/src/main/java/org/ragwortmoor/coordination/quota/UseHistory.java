package org.ragwortmoor.coordination.quota;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Numbers of tokens with the time until which they count, in order. Times within a short interval
 * share an entry, whose time is the latest of them.
 */
final class UseHistory {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ArrayDeque<Uses> entries = new ArrayDeque<>();
    private long total;

    private static final class Uses {
        final long firstEnd;
        long end;
        long count;

        Uses(long end, long count) {
            this.firstEnd = end;
            this.end = end;
            this.count = count;
        }
    }

    /** Adds tokens that count until a time, which is not before that of tokens added earlier. */
    void add(long count, long end) {
        if (count <= 0) {
            return;
        }
        total += count;
        Uses last = entries.peekLast();
        if (last != null && end - last.firstEnd < INTERVAL_NANOS) {
            last.end = end;
            last.count += count;
        } else {
            entries.add(new Uses(end, count));
        }
    }

    /** Returns the number of tokens that count. */
    long total(long now) {
        while (!entries.isEmpty() && entries.peek().end - now <= 0) {
            total -= entries.poll().count;
        }
        return total;
    }

    /** Returns the time until a number of tokens do not count any more, or -1 if there are less. */
    long nanosUntil(long count, long now) {
        long sum = 0;
        for (Uses uses : entries) {
            sum += uses.count;
            if (sum >= count) {
                return Math.max(0, uses.end - now);
            }
        }
        return -1;
    }

    void clear() {
        entries.clear();
        total = 0;
    }
}
