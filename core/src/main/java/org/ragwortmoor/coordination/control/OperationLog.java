package org.ragwortmoor.coordination.control;

import io.vavr.collection.Queue;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;

/**
 * Results of operator operations by operation id, used to deduplicate retries.
 *
 * <p>The newest {@link #MAX_RESULTS} results are retained, which at 32,000 changes a day covers at
 * least seven hours. An operator tool must not retry an operation that is older.
 *
 * @param results results by operation id
 * @param order operation ids, oldest first
 */
public record OperationLog(TreeMap<String, Entry> results, Queue<String> order) {
    /** Maximum number of retained results. */
    public static final int MAX_RESULTS = 10_000;

    /** An empty log. */
    public static final OperationLog EMPTY = new OperationLog(TreeMap.empty(), Queue.empty());

    /**
     * The result of one operation.
     *
     * @param fingerprint digest of the request; a different request with the same id is refused
     * @param result result of the first application
     */
    public record Entry(String fingerprint, CommandResult result) {}

    Option<Entry> find(String operationId) {
        return results.get(operationId);
    }

    OperationLog add(String operationId, Entry entry) {
        Queue<String> nextOrder = order.enqueue(operationId);
        TreeMap<String, Entry> next = results.put(operationId, entry);
        if (next.size() <= MAX_RESULTS) {
            return new OperationLog(next, nextOrder);
        }
        var oldest = nextOrder.dequeue();
        return new OperationLog(next.remove(oldest._1), oldest._2);
    }
}
