package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;

/** Decides where a read may run. */
interface ReadRouter {
    /**
     * What a read requires.
     *
     * @param level level of the read
     * @param position position that the data must contain
     * @param maxAgeNanos with {@code AGE}, the accepted age in nanoseconds
     * @param mayWait whether the read has not yet waited for replication
     */
    record Need(ReadLevel level, Position position, long maxAgeNanos, boolean mayWait) {}

    /** Where a read may run. */
    sealed interface Route {
        /** On one of these replicas. */
        record Replicas(List<Member> candidates) implements Route {}

        /** On the primary. */
        record Primary() implements Route {}

        /** After waiting for replication, at most until this time. */
        record Await(long until) implements Route {}

        /** Nowhere: the position was discarded by a failover. */
        record Lost() implements Route {}
    }

    Route route(Need need);
}
