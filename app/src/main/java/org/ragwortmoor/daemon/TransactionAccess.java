package org.ragwortmoor.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortmoor.state.endpoint.Operation;

/**
 * Remembers what each open transaction touched, so that its commit is decided on by the rules in
 * force then. Safe for concurrent use.
 *
 * <p>A transaction can stay open while a new version forbids what an earlier statement did.
 */
final class TransactionAccess {
    /** Bounds the memory of one transaction. */
    static final int MAX_OPERATIONS = 10_000;

    private final ConcurrentHashMap<String, Touched> open = new ConcurrentHashMap<>();

    /** Remembers a begun transaction and forgets those whose deadline has passed. */
    void begin(String transaction, long deadline, long now) {
        open.values().removeIf(touched -> touched.deadline < now);
        open.put(transaction, new Touched(deadline));
    }

    /** Adds the operations of a statement; false if the transaction would exceed its bound. */
    boolean add(String transaction, List<Operation> operations) {
        Touched touched = open.get(transaction);
        return touched == null || touched.add(operations);
    }

    /** Returns what the transaction touched; empty if it is not open here. */
    List<Operation> operations(String transaction) {
        Touched touched = open.get(transaction);
        return touched == null ? List.of() : touched.copy();
    }

    /** Forgets an ended transaction. */
    void end(String transaction) {
        open.remove(transaction);
    }

    /** Operations of one transaction. */
    private static final class Touched {
        private final long deadline;
        private final List<Operation> operations = new ArrayList<>();

        Touched(long deadline) {
            this.deadline = deadline;
        }

        synchronized boolean add(List<Operation> more) {
            if (operations.size() + more.size() > MAX_OPERATIONS) {
                return false;
            }
            operations.addAll(more);
            return true;
        }

        synchronized List<Operation> copy() {
            return List.copyOf(operations);
        }
    }
}
