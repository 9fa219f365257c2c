package org.ragwortmoor.coordination.session;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A wait for a connection. */
final class LeaseRequest {
    /** What the connection must lead to. */
    enum Need {
        /** The server that leads the group. */
        LEADER,
        /** Any server that takes reads. */
        ANY
    }

    /** Hears of the outcome, once. */
    interface Outcome {
        /** The connection belongs to the request until it is released or closed. */
        void granted(ServerConnection connection);

        /** No connection came free in time. */
        void expired();

        /** No server of the group is left that could serve the request. */
        void exhausted();
    }

    private final Need need;
    private final int priority;
    private final Map<String, String> values;
    private final long deadline;
    private final Outcome outcome;
    private final Set<String> excluded = new HashSet<>();

    LeaseRequest(
            Need need,
            int priority,
            Map<String, String> values,
            Set<String> excluded,
            long deadline,
            Outcome outcome) {
        this.need = need;
        this.priority = priority;
        this.values = values;
        this.deadline = deadline;
        this.outcome = outcome;
        this.excluded.addAll(excluded);
    }

    Need need() {
        return need;
    }

    int priority() {
        return priority;
    }

    Map<String, String> values() {
        return values;
    }

    Set<String> excluded() {
        return excluded;
    }

    long deadline() {
        return deadline;
    }

    Outcome outcome() {
        return outcome;
    }
}
