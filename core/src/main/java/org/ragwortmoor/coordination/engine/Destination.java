package org.ragwortmoor.coordination.engine;

/** Where a queued request may run. Destinations are dispatched in this order. */
enum Destination {
    /** On the connection of its transaction. */
    TRANSACTION,
    /** On the primary. */
    PRIMARY,
    /** On a replica that has the required data, otherwise on the primary. */
    REPLICA
}
