package org.ragwortmoor.coordination.workspace;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The reports of a proxy that have reached the leader of the directory, of which it confirms those
 * after whose arrival a majority has answered it. A process that has been deposed without noticing
 * gets no such answers, so it confirms nothing that arrived after its successor's election.
 */
public final class ReportConfirmation {
    /** Arrivals that are kept; a majority normally answers within one heartbeat interval. */
    private static final int MAX_ARRIVALS = 64;

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private long incarnation;
    private long confirmed;

    private record Arrival(long reportId, long at) {}

    /**
     * Records the arrival of a report.
     *
     * @param sender process of the proxy; reports of its other processes are forgotten
     * @param now monotonic clock of the leader, in nanoseconds
     */
    public void recordArrival(long sender, long reportId, long now) {
        if (sender != incarnation) {
            arrivals.clear();
            confirmed = 0;
            incarnation = sender;
        }
        if (arrivals.size() == MAX_ARRIVALS) {
            arrivals.removeFirst();
        }
        arrivals.addLast(new Arrival(reportId, now));
    }

    /**
     * Returns the newest report that is confirmed; 0 if there is none.
     *
     * @param quorumContactAt latest time for which a majority has answered messages that the leader
     *     sent at or after it
     */
    public long newestConfirmed(long quorumContactAt) {
        while (!arrivals.isEmpty() && arrivals.getFirst().at() - quorumContactAt <= 0) {
            confirmed = Math.max(confirmed, arrivals.removeFirst().reportId());
        }
        return confirmed;
    }
}
