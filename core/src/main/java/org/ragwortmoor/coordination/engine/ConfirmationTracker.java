package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;

/**
 * Computes the newest position that a majority holds under one term.
 *
 * <p>That an endpoint held a position under a term stays true for this purpose: when it promises a
 * higher term later, it reports the position, and the promoted log contains it. The confirmed
 * position therefore never moves back, and every position in the log that ends there is confirmed.
 * The primary of a term holds every entry of that term which a replica has, because only the
 * primary writes such entries.
 */
final class ConfirmationTracker {
    private final Map<String, EndpointStatus> held = new TreeMap<>();
    private Position confirmed = Position.ZERO;
    private TermHistory history = TermHistory.EMPTY;

    /** Records a status and returns whether the confirmed position advanced. */
    boolean update(
            String endpoint, EndpointStatus status, int majority, long viewTerm, String primary) {
        EndpointStatus before = held.get(endpoint);
        if (before == null || newer(status, before)) {
            held.put(endpoint, status);
        }
        return advance(status.promisedTerm(), majority, viewTerm, primary);
    }

    /** Forgets what an endpoint held, because it was removed or lost its data. */
    void forget(String endpoint) {
        held.remove(endpoint);
    }

    private static boolean newer(EndpointStatus status, EndpointStatus before) {
        int byTerm = Long.compare(status.promisedTerm(), before.promisedTerm());
        return byTerm > 0 || (byTerm == 0 && status.last().compareTo(before.last()) >= 0);
    }

    private boolean advance(long term, int majority, long viewTerm, String viewPrimary) {
        String primary = term == viewTerm ? viewPrimary : "";
        List<EndpointStatus> replicas = new ArrayList<>();
        EndpointStatus own = null;
        for (Map.Entry<String, EndpointStatus> entry : held.entrySet()) {
            EndpointStatus status = entry.getValue();
            if (status.promisedTerm() != term || status.last().term() != term) {
                continue;
            }
            if (status.primary() || entry.getKey().equals(primary)) {
                own = status;
            } else {
                replicas.add(status);
            }
        }
        boolean primaryKnown = own != null || !primary.isEmpty();
        int needed = primaryKnown ? majority - 1 : majority;
        replicas.sort(Comparator.comparing(EndpointStatus::last).reversed());
        EndpointStatus holder = needed == 0 ? own : nth(replicas, needed);
        if (holder == null || holder.last().compareTo(confirmed) <= 0) {
            return false;
        }
        confirmed = holder.last();
        history = holder.history();
        return true;
    }

    private static EndpointStatus nth(List<EndpointStatus> statuses, int n) {
        return statuses.size() < n ? null : statuses.get(n - 1);
    }

    Position confirmed() {
        return confirmed;
    }

    /** Returns the history of the log that ends at the confirmed position or behind it. */
    TermHistory history() {
        return history;
    }

    Lineage relate(Position position) {
        return history.relate(confirmed, position);
    }

    boolean isConfirmed(Position position) {
        return relate(position) == Lineage.CONTAINED;
    }

    /** Relates {@code position} to the log that ends at the confirmed position {@code end}. */
    Lineage relateWithin(Position end, Position position) {
        return history.truncatedTo(end.index()).relate(end, position);
    }
}
