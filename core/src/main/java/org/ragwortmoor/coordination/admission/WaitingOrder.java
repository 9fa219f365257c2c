package org.ragwortmoor.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

/**
 * Orders waiting statements by the priority of their route, then by their deadline.
 *
 * <p>Load: more statements than connections, as in a surge or after an outage. Among statements of
 * equal worth, the one whose time ends first is served first; in the order of arrival, a statement
 * with a long timeout would make one with a short timeout miss its own.
 *
 * @param <T> type of the waiting statements
 */
public final class WaitingOrder<T> {
    private final ToIntFunction<T> priority;
    private final ToLongFunction<T> deadline;
    private final List<T> waiting = new ArrayList<>();

    /**
     * Creates an empty order.
     *
     * @param priority priority of a statement; 0 is the highest
     * @param deadline time by which a statement must be sent, in nanoseconds
     */
    public WaitingOrder(ToIntFunction<T> priority, ToLongFunction<T> deadline) {
        this.priority = priority;
        this.deadline = deadline;
    }

    /** Adds a statement behind those that are served before it. */
    public void add(T statement) {
        int at = waiting.size();
        while (at > 0 && before(statement, waiting.get(at - 1))) {
            at--;
        }
        waiting.add(at, statement);
    }

    private boolean before(T left, T right) {
        int byPriority = Integer.compare(priority.applyAsInt(left), priority.applyAsInt(right));
        return byPriority != 0
                ? byPriority < 0
                : deadline.applyAsLong(left) - deadline.applyAsLong(right) < 0;
    }

    /** Removes a statement; returns whether it was waiting. */
    public boolean remove(T statement) {
        return waiting.remove(statement);
    }

    /** Returns the waiting statements in the order in which they are served; a copy. */
    public List<T> inOrder() {
        return List.copyOf(waiting);
    }

    /** Returns the number of waiting statements. */
    public int size() {
        return waiting.size();
    }
}
