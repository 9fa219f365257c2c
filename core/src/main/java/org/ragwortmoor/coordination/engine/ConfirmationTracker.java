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
 * Computes the newest position that a majority holds in one term.
 *
 * <p>An old status remains valid evidence: an endpoint that held a position in a term reports it
 * when it later promises a higher term, so the log of the promoted primary contains it. The
 * confirmed position therefore never moves back, and every position in the log that ends there is
 * confirmed. The primary of a term counts as holding every entry of that term that a replica has,
 * because only the primary writes such entries.
 */
final class ConfirmationTracker {
    private final Map<String, EndpointStatus> newestStatuses = new TreeMap<>();
    private Position confirmed = Position.ZERO;
    private TermHistory history = TermHistory.EMPTY;

    /** Records a status and returns whether the confirmed position advanced. */
    boolean update(
            String endpoint, EndpointStatus status, int majority, long viewTerm, String primary) {
        EndpointStatus previous = newestStatuses.get(endpoint);
        if (previous == null || newer(status, previous)) {
            newestStatuses.put(endpoint, status);
        }
        return advance(status.promisedTerm(), majority, viewTerm, primary);
    }

    /** Discards the status of an endpoint that was removed or lost its data. */
    void forget(String endpoint) {
        newestStatuses.remove(endpoint);
    }

    private static boolean newer(EndpointStatus status, EndpointStatus previous) {
        int byTerm = Long.compare(status.promisedTerm(), previous.promisedTerm());
        return byTerm > 0 || (byTerm == 0 && status.last().compareTo(previous.last()) >= 0);
    }

    private boolean advance(long term, int majority, long viewTerm, String viewPrimary) {
        String primary = term == viewTerm ? viewPrimary : "";
        List<EndpointStatus> replicas = new ArrayList<>();
        EndpointStatus primaryStatus = null;
        for (Map.Entry<String, EndpointStatus> entry : newestStatuses.entrySet()) {
            EndpointStatus status = entry.getValue();
            if (status.promisedTerm() != term || status.last().term() != term) {
                continue;
            }
            if (status.primary() || entry.getKey().equals(primary)) {
                primaryStatus = status;
            } else {
                replicas.add(status);
            }
        }
        boolean primaryKnown = primaryStatus != null || !primary.isEmpty();
        int needed = primaryKnown ? majority - 1 : majority;
        replicas.sort(Comparator.comparing(EndpointStatus::last).reversed());
        EndpointStatus lastOfMajority = needed == 0 ? primaryStatus : nth(replicas, needed);
        if (lastOfMajority == null || lastOfMajority.last().compareTo(confirmed) <= 0) {
            return false;
        }
        confirmed = lastOfMajority.last();
        history = lastOfMajority.history();
        return true;
    }

    private static EndpointStatus nth(List<EndpointStatus> statuses, int n) {
        return statuses.size() < n ? null : statuses.get(n - 1);
    }

    Position confirmed() {
        return confirmed;
    }

    /** Returns the term history of a log that contains the confirmed position. */
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
