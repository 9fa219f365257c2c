package org.ragwortmoor.history;

/** Kinds of requests in a history. */
public enum RequestKind {
    /** Reads records with one request. */
    READ,
    /** Writes records with one request. */
    WRITE,
    /** Begins a transaction, runs its operations and commits. */
    TRANSACTION,
    /**
     * Asks for the outcome of the write with the same idempotency key, and cancels it otherwise.
     */
    OUTCOME,
    /** Strong read of all keys of a group after the last other request. */
    FINAL
}
