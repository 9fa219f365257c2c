package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The idle connections to one server, the most recently used one first. */
final class IdleConnections {
    private final Deque<ServerConnection> connections = new ArrayDeque<>();

    int count() {
        return connections.size();
    }

    int count(String workspace) {
        int count = 0;
        for (ServerConnection connection : connections) {
            if (connection.workspace().equals(workspace)) {
                count++;
            }
        }
        return count;
    }

    List<ServerConnection> copy() {
        return List.copyOf(connections);
    }

    void addMostRecent(ServerConnection connection) {
        connections.addFirst(connection);
    }

    void addLeastRecent(ServerConnection connection) {
        connections.addLast(connection);
    }

    void remove(ServerConnection connection) {
        connections.remove(connection);
    }

    /** Returns the least recently used connection, or null. */
    ServerConnection leastRecent() {
        return connections.peekLast();
    }

    /**
     * Removes and returns a connection of a workspace, preferably one with the same session values.
     */
    Option<ServerConnection> take(String workspace, Map<String, String> values) {
        ServerConnection best = null;
        for (ServerConnection connection : connections) {
            if (!connection.workspace().equals(workspace)) {
                continue;
            }
            if (connection.valuesKnown() && connection.values().equals(values)) {
                best = connection;
                break;
            }
            if (best == null || connection.values().isEmpty()) {
                best = connection;
            }
        }
        if (best != null) {
            connections.remove(best);
        }
        return Option.of(best);
    }

    /**
     * Returns the connection that is expected to be needed last, or null: that of the workspace
     * with the fewest recent uses, where a further connection of a workspace counts less. Of equal
     * ones, it is the least recently used one.
     */
    ServerConnection leastUseful(RecentUses recentUses, long now) {
        ServerConnection least = null;
        double fewestUses = Double.MAX_VALUE;
        Map<String, Integer> counts = new HashMap<>();
        for (ServerConnection connection : connections) {
            String workspace = connection.workspace();
            int count = counts.merge(workspace, 1, Integer::sum);
            double uses = recentUses.usesAt(workspace, now) / count;
            if (uses <= fewestUses) {
                least = connection;
                fewestUses = uses;
            }
        }
        return least;
    }

    /** Removes and returns the least recently used connection. */
    Option<ServerConnection> takeLeastRecent() {
        return Option.of(connections.pollLast());
    }
}
