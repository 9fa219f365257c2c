package org.ragwortmoor.coordination.control;

import io.vavr.collection.Queue;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;

/**
 * Results of operator operations by operation id.
 *
 * <p>The newest {@link #KEPT} results are kept, which at 32,000 changes a day is at least seven
 * hours; an operator tool must not resend an operation that is older.
 *
 * @param results results by operation id
 * @param order operation ids, oldest first
 */
public record OperationLog(TreeMap<String, Entry> results, Queue<String> order) {
    /** Number of results that are kept. */
    public static final int KEPT = 10_000;

    /** No operations. */
    public static final OperationLog EMPTY = new OperationLog(TreeMap.empty(), Queue.empty());

    /**
     * A result.
     *
     * @param fingerprint digest of what was asked; another request under the same id is refused
     * @param result result of the first application
     */
    public record Entry(String fingerprint, CommandResult result) {}

    Option<Entry> find(String operationId) {
        return results.get(operationId);
    }

    OperationLog add(String operationId, Entry entry) {
        Queue<String> nextOrder = order.enqueue(operationId);
        TreeMap<String, Entry> next = results.put(operationId, entry);
        if (next.size() <= KEPT) {
            return new OperationLog(next, nextOrder);
        }
        var oldest = nextOrder.dequeue();
        return new OperationLog(next.remove(oldest._1), oldest._2);
    }
}
