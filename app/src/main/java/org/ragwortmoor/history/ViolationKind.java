package org.ragwortmoor.history;

/** Kinds of violations that {@link HistoryChecker} finds. */
public enum ViolationKind {
    /** The history itself breaks a rule that the checks rely on; it proves nothing. */
    UNUSABLE_HISTORY,
    /** The effect of an acknowledged write is missing. */
    ACKNOWLEDGED_LOST,
    /** The effect of a write that was answered "not run" was seen. */
    NOT_RUN_APPLIED,
    /** A counter exceeds the sum of all increments, counted once per idempotency key. */
    COUNTED_TWICE,
    /** A session did not see its own acknowledged write. */
    OWN_WRITE_UNSEEN,
    /** A session saw an older state than before. */
    READ_WENT_BACK,
    /** Strong reads and writes have no common order that agrees with real time. */
    NOT_LINEARIZABLE,
    /** A read returned data older than the accepted age plus its own duration. */
    TOO_OLD,
    /** An answer belongs to another request. */
    FOREIGN_ANSWER,
    /** A part of a transaction was seen without the rest. */
    TRANSACTION_TORN,
    /** A transaction committed on a record that another write changed after it had read it. */
    TRANSACTIONS_MIXED
}
