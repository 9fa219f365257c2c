package org.ragwortmoor.coordination.engine;

/** Where a waiting request may run. Lanes are served in this order. */
enum Lane {
    /** On the connection of its transaction. */
    TRANSACTION,
    /** On the primary. */
    PRIMARY,
    /** On any endpoint that has the required data. */
    REPLICA
}
