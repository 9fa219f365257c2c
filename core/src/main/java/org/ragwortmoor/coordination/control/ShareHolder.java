package org.ragwortmoor.coordination.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.ProxyReport.Acknowledged;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/** What one proxy holds, wants and was granted of one endpoint. */
final class ShareHolder {
    /** Reports of one second; the smallest holding in it may be what an announcement counted. */
    private static final int WINDOW = 4;

    /**
     * A granted share, valid until it expires or the proxy acknowledged a later one.
     *
     * @param sequence sequence of the report that it answered
     */
    private record Grant(
            long sequence, int floor, int connections, int longPermits, long expiresAt) {}

    /** Connections of a process that is silent or was replaced, whose lease ends at that time. */
    private record Abandoned(long incarnation, int connections, long endsAt) {}

    private final List<Grant> grants = new ArrayList<>();
    private final Deque<Integer> heldWindow = new ArrayDeque<>();
    private EndpointObservation seen;
    private long incarnation;
    private long reportedAt;
    private int previousWanted;
    private final List<Abandoned> abandoned = new ArrayList<>();
    private Share stated;
    private long statedIn;

    void report(ProxyReport report, EndpointObservation observation, long leaderTerm, long now) {
        if (seen != null && incarnation != report.incarnation()) {
            abandon(Math.max(largestGrant(), seen.connections()), now + ShareAllocator.LEASE_NANOS);
            grants.clear();
            heldWindow.clear();
            previousWanted = 0;
            stated = null;
        }
        // A process that is back reports what it holds.
        abandoned.removeIf(a -> a.incarnation() == report.incarnation());
        previousWanted = seen == null ? 0 : seen.wanted();
        incarnation = report.incarnation();
        seen = observation;
        reportedAt = now;
        heldWindow.addLast(observation.connections());
        if (heldWindow.size() > WINDOW) {
            heldWindow.removeFirst();
        }
        Acknowledged acknowledged = report.acknowledged();
        if (acknowledged.leaderTerm() == leaderTerm) {
            grants.removeIf(g -> g.sequence() < acknowledged.sequence());
        }
    }

    /** Records the share in the answer to the newest report. */
    void state(Share share, long sequence) {
        if (!share.equals(stated)) {
            stated = share;
            statedIn = sequence;
        }
    }

    /** Returns whether the stated share is another one than in the answer to the base. */
    boolean changedAfter(long base) {
        return statedIn > base;
    }

    void grant(long sequence, int floor, int connections, int longPermits, long expiresAt) {
        grants.add(new Grant(sequence, floor, connections, longPermits, expiresAt));
    }

    /** Ends expired grants; those of a silent proxy stay reserved until the endpoint shows less. */
    void expire(long now) {
        if (grants.isEmpty()) {
            return;
        }
        int before = Math.max(largestGrant(), seen.connections());
        grants.removeIf(g -> now >= g.expiresAt());
        if (grants.isEmpty() && !live(now)) {
            abandon(before, now);
        }
    }

    private void abandon(int connections, long endsAt) {
        if (connections > 0) {
            abandoned.add(new Abandoned(incarnation, connections, endsAt));
        }
    }

    /** Returns whether a report arrived within the last lease. */
    boolean live(long now) {
        return seen != null && now - reportedAt < ShareAllocator.LEASE_NANOS;
    }

    /** Returns connections that the proxy may be using now. */
    int committed(int floor, long now) {
        int held = live(now) ? seen.connections() : 0;
        return Math.max(floor, Math.max(largestGrant(), held));
    }

    int committedLong(long now) {
        return Math.max(grantedLong(), live(now) ? seen.longRunning() : 0);
    }

    int grantedLong() {
        int most = 0;
        for (Grant grant : grants) {
            most = Math.max(most, grant.longPermits());
        }
        return most;
    }

    private int largestGrant() {
        int most = 0;
        for (Grant grant : grants) {
            most = Math.max(most, grant.connections());
        }
        return most;
    }

    /** Returns connections of leases that the endpoint has not been seen to be rid of. */
    int abandoned() {
        return abandoned.stream().mapToInt(Abandoned::connections).sum();
    }

    /** Returns when the last lease of {@link #abandoned} ends. */
    long abandonedAt() {
        return abandoned.stream().mapToLong(Abandoned::endsAt).max().orElse(Long.MIN_VALUE);
    }

    void release() {
        abandoned.clear();
    }

    int held() {
        return seen.connections();
    }

    int smallestHeld() {
        return heldWindow.stream().mapToInt(Integer::intValue).min().orElse(0);
    }

    /** Returns the larger demand of two reports, so that a short pause moves no share. */
    int demand() {
        return Math.max(previousWanted, seen.wanted());
    }

    int longDemand() {
        return seen.longRunning() + seen.longWanted();
    }

    /** Returns whether nothing is known that others must respect. */
    boolean idle(long now) {
        return grants.isEmpty() && abandoned.isEmpty() && !live(now);
    }
}
