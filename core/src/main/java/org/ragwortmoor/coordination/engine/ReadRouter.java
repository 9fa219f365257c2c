package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;

/** Decides where a read may run. */
interface ReadRouter {
    /**
     * Consistency requirements of a read.
     *
     * @param level consistency level
     * @param position position that the data must contain
     * @param maxAgeNanos maximum staleness in nanoseconds at level {@code AGE}
     * @param mayWait whether the read may wait for replication; it waits at most once
     */
    record Need(ReadLevel level, Position position, long maxAgeNanos, boolean mayWait) {}

    /** Result of routing a read. */
    sealed interface Route {
        /** Run on one of these replicas. */
        record Replicas(List<Member> candidates) implements Route {}

        /** Run on the primary. */
        record Primary() implements Route {}

        /** Wait for replication, at most until this time. */
        record Await(long until) implements Route {}

        /** Refuse the read: a failover discarded the position. */
        record Lost() implements Route {}
    }

    Route route(Need need);
}
