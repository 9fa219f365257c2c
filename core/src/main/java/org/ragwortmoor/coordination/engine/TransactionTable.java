package org.ragwortmoor.coordination.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The open transactions of one proxy on one group. */
final class TransactionTable {
    private final EngineContext ctx;
    private final Map<String, Transaction> open = new LinkedHashMap<>();
    private long last;

    TransactionTable(EngineContext ctx) {
        this.ctx = ctx;
    }

    /** Registers a begun transaction and returns its identifier. */
    String begun(CallerRequest.Begin begin, PooledConnection connection, long endpointTransaction) {
        // The random part keeps identifiers of a restarted proxy apart.
        String id = ctx.proxy() + "-" + ++last + "-" + Long.toHexString(ctx.random().nextLong());
        Transaction transaction =
                new Transaction(
                        id, begin.session(), connection, endpointTransaction, ctx.view().term());
        open.put(id, transaction);
        ctx.timers()
                .at(
                        begin.transactionDeadline(),
                        () ->
                                abort(
                                        transaction,
                                        ErrorKind.DEADLINE_EXCEEDED,
                                        "the transaction's deadline passed"));
        return id;
    }

    /**
     * Makes {@code task} the current request of a transaction.
     *
     * @return the transaction, or null after the request was refused
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
        if (transaction.current() != null) {
            task.refuse(
                    ErrorKind.BAD_REQUEST,
                    "another request of the transaction is unanswered; send one at a time",
                    0);
            return null;
        }
        transaction.current(task);
        return transaction;
    }

    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    Transaction find(String id) {
        return open.get(id);
    }

    /** Forgets a transaction whose end is decided; its connection stays with the caller. */
    void close(Transaction transaction) {
        open.remove(transaction.id());
    }

    /** Rolls a transaction back; a commit that was sent has left the table and goes on. */
    void abort(Transaction transaction, ErrorKind kind, String reason) {
        if (open.remove(transaction.id()) == null) {
            return;
        }
        ctx.count(Counter.TRANSACTIONS_ABORTED);
        Task current = transaction.current();
        if (current != null) {
            current.refuse(kind, "the transaction was rolled back: " + reason, 0);
        }
        // A running statement resets the connection when it is answered.
        if (!transaction.running()) {
            ctx.pool().reset(transaction.connection());
        }
    }

    void callerLost(String session) {
        for (Transaction transaction : List.copyOf(open.values())) {
            if (transaction.session().equals(session)) {
                abort(transaction, ErrorKind.CONNECTION_LOST, "the caller is gone");
            }
        }
    }

    /** Ends the transactions of older terms: their commits could never be confirmed. */
    void groupChanged() {
        for (Transaction transaction : List.copyOf(open.values())) {
            if (transaction.term() < ctx.view().term()) {
                abort(transaction, ErrorKind.NO_PRIMARY, "the primary was replaced");
            }
        }
    }

    /** Ends the transactions whose connection is closed. */
    void dropClosed() {
        for (Transaction transaction : List.copyOf(open.values())) {
            if (!transaction.connection().open() && !transaction.running()) {
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
