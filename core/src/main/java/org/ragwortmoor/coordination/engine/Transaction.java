package org.ragwortmoor.coordination.engine;

/** An open transaction, which holds its connection until it ends. */
final class Transaction {
    private final String id;
    private final String session;
    private final PooledConnection connection;
    private final long endpointTransaction;
    private final long term;
    private Task currentRequest;
    private boolean statementRunning;

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

    /** Returns the identifier assigned by the endpoint. */
    long endpointTransaction() {
        return endpointTransaction;
    }

    long term() {
        return term;
    }

    /** Returns the unanswered request of this transaction, or null. */
    Task currentRequest() {
        return currentRequest;
    }

    void currentRequest(Task next) {
        currentRequest = next;
    }

    /** Returns whether the endpoint has not yet answered a statement of the transaction. */
    boolean statementRunning() {
        return statementRunning;
    }

    void statementRunning(boolean next) {
        statementRunning = next;
    }
}
