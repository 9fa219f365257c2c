package org.ragwortmoor.coordination.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The open transactions of one proxy on one group. */
final class TransactionTable {
    private final EngineContext ctx;
    private final Map<String, Transaction> open = new LinkedHashMap<>();
    private long lastId;

    TransactionTable(EngineContext ctx) {
        this.ctx = ctx;
    }

    /** Registers a begun transaction and returns its identifier. */
    String register(
            CallerRequest.Begin begin, PooledConnection connection, long endpointTransaction) {
        // The random part keeps identifiers unique across restarts of the proxy.
        String id = ctx.proxy() + "-" + ++lastId + "-" + Long.toHexString(ctx.random().nextLong());
        Transaction transaction =
                new Transaction(
                        id, begin.session(), connection, endpointTransaction, ctx.view().term());
        open.put(id, transaction);
        ctx.timers()
                .schedule(
                        begin.transactionDeadline(),
                        () ->
                                abort(
                                        transaction,
                                        ErrorKind.DEADLINE_EXCEEDED,
                                        "the transaction's deadline passed"));
        return id;
    }

    /**
     * Makes {@code task} the current request of a transaction, or refuses the task.
     *
     * @return the transaction, or null if the task was refused
     */
    Transaction enter(Task task, String id) {
        Transaction transaction = open.get(id);
        if (transaction == null) {
            task.refuse(
                    ErrorKind.UNKNOWN_TRANSACTION,
                    "the transaction is not open on this proxy; begin a new one",
                    0);
            return null;
        }
        if (!transaction.session().equals(task.request().session())) {
            task.refuse(
                    ErrorKind.FOREIGN_TRANSACTION, "the transaction belongs to another session", 0);
            return null;
        }
        if (transaction.currentRequest() != null) {
            task.refuse(
                    ErrorKind.BAD_REQUEST,
                    "another request of the transaction is unanswered; send one at a time",
                    0);
            return null;
        }
        transaction.currentRequest(task);
        return transaction;
    }

    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    Transaction find(String id) {
        return open.get(id);
    }

    /** Removes a transaction that is being committed; the commit takes over its connection. */
    void close(Transaction transaction) {
        open.remove(transaction.id());
    }

    /**
     * Rolls back a transaction. A commit that was sent is not affected, because its transaction has
     * been removed from the table.
     */
    void abort(Transaction transaction, ErrorKind kind, String reason) {
        if (open.remove(transaction.id()) == null) {
            return;
        }
        ctx.count(Counter.TRANSACTIONS_ABORTED);
        Task current = transaction.currentRequest();
        if (current != null) {
            current.refuse(kind, "the transaction was rolled back: " + reason, 0);
        }
        // The answer to a running statement resets the connection.
        if (!transaction.statementRunning()) {
            ctx.pool().resetAndRelease(transaction.connection());
        }
    }

    void abortSession(String session) {
        for (Transaction transaction : List.copyOf(open.values())) {
            if (transaction.session().equals(session)) {
                abort(transaction, ErrorKind.CONNECTION_LOST, "the caller is gone");
            }
        }
    }

    /** Rolls back the transactions of older terms, whose commits cannot be confirmed. */
    void abortOlderTerms() {
        for (Transaction transaction : List.copyOf(open.values())) {
            if (transaction.term() < ctx.view().term()) {
                abort(transaction, ErrorKind.NO_PRIMARY, "the primary was replaced");
            }
        }
    }

    /** Rolls back the transactions whose connection is closed. */
    void abortDisconnected() {
        for (Transaction transaction : List.copyOf(open.values())) {
            if (!transaction.connection().isOpen() && !transaction.statementRunning()) {
                abort(transaction, ErrorKind.CONNECTION_LOST, "its connection was lost");
            }
        }
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    int size() {
        return open.size();
    }
}
