package org.ragwortmoor.coordination.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.ProxyReport.Acknowledged;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * The connections and long permits of one endpoint that a proxy holds, requests and was granted.
 */
final class ProxyShareState {
    /**
     * Number of reports in one second; an announcement may have counted the smallest number of
     * connections in this window.
     */
    private static final int REPORT_WINDOW = 4;

    /**
     * A granted share, valid until it expires or the proxy acknowledges a later one.
     *
     * @param sequence sequence of the report that the grant answered
     */
    private record Grant(
            long sequence, int floor, int connections, int longPermits, long expiresAt) {}

    /**
     * Connections of a proxy process that is silent or was replaced.
     *
     * @param endsAt end of the lease
     */
    private record OrphanedLease(long incarnation, int connections, long endsAt) {}

    private final List<Grant> grants = new ArrayList<>();
    private final Deque<Integer> connectionsWindow = new ArrayDeque<>();
    private EndpointObservation observation;
    private long incarnation;
    private long reportedAt;
    private int previousDemand;
    private final List<OrphanedLease> orphaned = new ArrayList<>();
    private Share sentShare;
    private long changedInSequence;

    void report(ProxyReport report, EndpointObservation latest, long leaderTerm, long now) {
        if (observation != null && incarnation != report.incarnation()) {
            addOrphaned(
                    Math.max(largestGrant(), observation.connections()),
                    now + ShareAllocator.LEASE_NANOS);
            grants.clear();
            connectionsWindow.clear();
            previousDemand = 0;
            sentShare = null;
        }
        // A process that reports again states the connections that it holds, so they are not
        // orphaned.
        orphaned.removeIf(lease -> lease.incarnation() == report.incarnation());
        previousDemand = observation == null ? 0 : observation.wanted();
        incarnation = report.incarnation();
        observation = latest;
        reportedAt = now;
        connectionsWindow.addLast(latest.connections());
        if (connectionsWindow.size() > REPORT_WINDOW) {
            connectionsWindow.removeFirst();
        }
        Acknowledged acknowledged = report.acknowledged();
        if (acknowledged.leaderTerm() == leaderTerm) {
            grants.removeIf(g -> g.sequence() < acknowledged.sequence());
        }
    }

    /** Records the share that is sent in the answer to the latest report. */
    void recordSent(Share share, long sequence) {
        if (!share.equals(sentShare)) {
            sentShare = share;
            changedInSequence = sequence;
        }
    }

    /** Returns whether the share has changed after the answer to the base. */
    boolean changedAfter(long base) {
        return changedInSequence > base;
    }

    void grant(long sequence, int floor, int connections, int longPermits, long expiresAt) {
        grants.add(new Grant(sequence, floor, connections, longPermits, expiresAt));
    }

    /**
     * Removes expired grants. The connections of a silent proxy become orphaned and stay reserved
     * until the endpoint counts fewer connections.
     */
    void expire(long now) {
        if (grants.isEmpty()) {
            return;
        }
        int previous = Math.max(largestGrant(), observation.connections());
        grants.removeIf(g -> now >= g.expiresAt());
        if (grants.isEmpty() && !reporting(now)) {
            addOrphaned(previous, now);
        }
    }

    private void addOrphaned(int connections, long endsAt) {
        if (connections > 0) {
            orphaned.add(new OrphanedLease(incarnation, connections, endsAt));
        }
    }

    /** Returns whether a report was received within the last lease duration. */
    boolean reporting(long now) {
        return observation != null && now - reportedAt < ShareAllocator.LEASE_NANOS;
    }

    /** Returns the number of connections that the proxy may be using. */
    int committed(int floor, long now) {
        int reported = reporting(now) ? observation.connections() : 0;
        return Math.max(floor, Math.max(largestGrant(), reported));
    }

    int committedLong(long now) {
        return Math.max(grantedLong(), reporting(now) ? observation.longRunning() : 0);
    }

    int grantedLong() {
        int max = 0;
        for (Grant grant : grants) {
            max = Math.max(max, grant.longPermits());
        }
        return max;
    }

    private int largestGrant() {
        int max = 0;
        for (Grant grant : grants) {
            max = Math.max(max, grant.connections());
        }
        return max;
    }

    /**
     * Returns the number of connections of ended or replaced leases that may still be open at the
     * endpoint.
     */
    int orphaned() {
        return orphaned.stream().mapToInt(OrphanedLease::connections).sum();
    }

    /** Returns the time at which the last lease of {@link #orphaned} ends. */
    long orphanedUntil() {
        return orphaned.stream().mapToLong(OrphanedLease::endsAt).max().orElse(Long.MIN_VALUE);
    }

    void releaseOrphaned() {
        orphaned.clear();
    }

    int connections() {
        return observation.connections();
    }

    int minConnections() {
        return connectionsWindow.stream().mapToInt(Integer::intValue).min().orElse(0);
    }

    /**
     * Returns the larger demand of the last two reports, so that a short pause does not move the
     * share.
     */
    int demand() {
        return Math.max(previousDemand, observation.wanted());
    }

    int longDemand() {
        return observation.longRunning() + observation.longWanted();
    }

    /** Returns whether the proxy neither reports nor has any connections reserved. */
    boolean idle(long now) {
        return grants.isEmpty() && orphaned.isEmpty() && !reporting(now);
    }
}
