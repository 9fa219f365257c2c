package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;

/** The log positions of the replicas that may be promoted. */
final class ReplicaSurvey {
    private final Map<String, Position> positions = new HashMap<>();
    private final Set<String> replicas = new TreeSet<>();

    void start(List<ServerRecord> surveyed) {
        positions.clear();
        replicas.clear();
        surveyed.forEach(r -> replicas.add(r.id()));
    }

    /** Records the position of a replica; ignored unless the current survey asked for it. */
    void record(String server, Position position) {
        if (replicas.contains(server)) {
            positions.put(server, position);
        }
    }

    boolean includes(String server) {
        return replicas.contains(server);
    }

    boolean complete() {
        return positions.size() == replicas.size();
    }

    /** Returns whether enough replicas have answered to choose one of them. */
    boolean sufficient(int syncReplicas) {
        // With synchronous replication, any single replica may be the only one that holds an
        // acknowledged commit, so all of them must have answered.
        return syncReplicas == 0 ? !positions.isEmpty() : complete();
    }

    /** Returns whether a replica has received the log up to the position. */
    boolean reached(Position last) {
        return positions.values().stream().anyMatch(p -> p.compareTo(last) >= 0);
    }

    /** Returns the replica with the highest position, if any has answered. */
    Option<String> mostAdvanced() {
        Option<String> best = Option.none();
        for (Map.Entry<String, Position> entry : positions.entrySet()) {
            boolean better =
                    best.isEmpty() || entry.getValue().compareTo(positions.get(best.get())) > 0;
            if (better) {
                best = Option.some(entry.getKey());
            }
        }
        return best;
    }

    /** Returns the positions by server, for logs. */
    @Override
    public String toString() {
        return positions.toString();
    }
}
