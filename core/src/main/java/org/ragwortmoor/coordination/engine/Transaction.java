package org.ragwortmoor.coordination.engine;

/** An open transaction; it owns its connection from begin to end. */
final class Transaction {
    private final String id;
    private final String session;
    private final PooledConnection connection;
    private final long endpointTransaction;
    private final long term;
    private Task current;
    private boolean running;

    Transaction(
            String id,
            String session,
            PooledConnection connection,
            long endpointTransaction,
            long term) {
        this.id = id;
        this.session = session;
        this.connection = connection;
        this.endpointTransaction = endpointTransaction;
        this.term = term;
    }

    String id() {
        return id;
    }

    String session() {
        return session;
    }

    PooledConnection connection() {
        return connection;
    }

    /** Returns the identifier that the endpoint gave. */
    long endpointTransaction() {
        return endpointTransaction;
    }

    long term() {
        return term;
    }

    /** Returns the request that is being handled in this transaction, or null. */
    Task current() {
        return current;
    }

    void current(Task next) {
        current = next;
    }

    /** Returns whether a statement is unanswered on the connection. */
    boolean running() {
        return running;
    }

    void running(boolean next) {
        running = next;
    }
}
