package org.ragwortmoor.coordination.session;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;

/** A queued request for a server connection. */
final class ConnectionRequest {
    /** Servers that the connection may lead to. */
    enum Target {
        /** Only the leader of the group. */
        LEADER,
        /** Any server that accepts reads. */
        ANY;

        /**
         * Returns the servers that can execute statements of a route.
         *
         * @param readOnly whether the statements only read
         */
        static Target of(Route route, boolean readOnly) {
            return readOnly && route.kind() != RouteKind.PRIMARY ? ANY : LEADER;
        }
    }

    /** Receives the outcome of a request, once, unless the request is cancelled. */
    interface Listener {
        /** A connection was granted; the receiver must release or close it. */
        void granted(ServerConnection connection);

        /** No connection became available before the deadline. */
        void expired();

        /** No server of the group can serve the request any more. */
        void exhausted();
    }

    private final Target target;
    private final String workspace;
    private final int priority;
    private final Map<String, String> values;
    private final long deadline;
    private final Listener listener;
    private final Set<String> excluded = new HashSet<>();
    private long queuedAt;

    ConnectionRequest(
            Target target,
            String workspace,
            int priority,
            Map<String, String> values,
            Set<String> excluded,
            long deadline,
            Listener listener) {
        this.target = target;
        this.workspace = workspace;
        this.priority = priority;
        this.values = values;
        this.deadline = deadline;
        this.listener = listener;
        this.excluded.addAll(excluded);
    }

    Target target() {
        return target;
    }

    /** Returns the workspace that the connection has to belong to; empty if it has none. */
    String workspace() {
        return workspace;
    }

    int priority() {
        return priority;
    }

    Map<String, String> values() {
        return values;
    }

    /** Returns the time at which the request was queued. */
    long queuedAt() {
        return queuedAt;
    }

    void markQueued(long now) {
        queuedAt = now;
    }

    Set<String> excluded() {
        return excluded;
    }

    long deadline() {
        return deadline;
    }

    Listener listener() {
        return listener;
    }

    /** Grants a connection; one whose receiver fails would never be released. */
    void grant(ServerConnection connection) {
        try {
            listener.granted(connection);
        } catch (RuntimeException | OutOfMemoryError e) {
            connection.close("the statement could not be sent");
            throw e;
        }
    }
}
