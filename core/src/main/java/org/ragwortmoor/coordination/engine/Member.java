package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;

/** What the proxy knows of one endpoint of the group. */
final class Member {
    private static final double SMOOTHING = 0.2;

    private EndpointInfo info;
    private final Share share = new Share();
    private final InFlightLimiter limiter;
    private EndpointStatus status;
    private long statusSequence;
    private boolean refusedAsLeaving;
    private long silentSince;
    private int shortRunning;
    private int longRunning;
    private double roundTripNanos;
    private double lagNanos;
    private double serviceNanos;
    private double queueingNanos;
    private double latestQueueNanos;

    Member(EndpointInfo info, InFlightLimiter limiter, long now) {
        this.info = info;
        this.limiter = limiter;
        this.silentSince = now;
    }

    String name() {
        return info.endpoint();
    }

    EndpointInfo info() {
        return info;
    }

    /** Returns whether the endpoint must be forgotten because it moved or lost its data. */
    boolean replacedBy(EndpointInfo next) {
        return next.incarnation() != info.incarnation() || !next.address().equals(info.address());
    }

    void describe(EndpointInfo next) {
        info = next;
    }

    Share share() {
        return share;
    }

    InFlightLimiter limiter() {
        return limiter;
    }

    boolean leaving() {
        return info.leaving() || refusedAsLeaving || (status != null && status.leaving());
    }

    void refusedAsLeaving() {
        refusedAsLeaving = true;
    }

    /** Returns the status that answers the latest request, or null. */
    EndpointStatus status() {
        return status;
    }

    long statusSequence() {
        return statusSequence;
    }

    /** Keeps the answer to the latest request; an answer that was overtaken is not newer. */
    void reported(EndpointStatus next, long sequence) {
        // An endpoint that lost its data counts again once the control group describes it anew.
        if (next.incarnation() != 0 && next.incarnation() != info.incarnation()) {
            return;
        }
        if (status == null || sequence > statusSequence) {
            status = next;
            statusSequence = sequence;
            // Keeps the estimate current for an endpoint that gets no statements.
            latestQueueNanos = queueNanos(next.queued());
            queueing(latestQueueNanos);
        }
    }

    /**
     * Learns from an executed short statement.
     *
     * @param queued statements that waited in the endpoint when this one ended
     */
    void served(long queuedNanos, long executionNanos, int queued) {
        serviceNanos =
                serviceNanos == 0 ? executionNanos : mix(serviceNanos, (double) executionNanos);
        latestQueueNanos = queueNanos(queued);
        queueing((double) queuedNanos);
    }

    private double queueNanos(int queued) {
        return queued * serviceNanos / Math.max(1, info.slots());
    }

    private void queueing(double nanos) {
        queueingNanos = mix(queueingNanos, nanos);
    }

    /** Returns the usual time that a short statement waits in the endpoint. */
    double queueingNanos() {
        return queueingNanos;
    }

    /**
     * Returns a time within which most short statements leave the endpoint's queue. The average
     * follows a surge late, so the queue that the last answer reported counts as well.
     */
    double expectedQueueingNanos() {
        return Math.max(2 * queueingNanos, latestQueueNanos);
    }

    Position last() {
        return status == null ? Position.ZERO : status.last();
    }

    void answered(long now) {
        silentSince = now;
    }

    long silentNanos(long now) {
        return Math.max(0, now - silentSince);
    }

    void roundTrip(long nanos) {
        roundTripNanos = roundTripNanos == 0 ? nanos : mix(roundTripNanos, (double) nanos);
    }

    double roundTripNanos() {
        return roundTripNanos;
    }

    /** Learns how long the endpoint took to receive an awaited position. */
    void caughtUpAfter(long nanos) {
        lagNanos = mix(lagNanos, (double) nanos);
    }

    double lagNanos() {
        return lagNanos;
    }

    private static double mix(double average, double value) {
        return average + SMOOTHING * (value - average);
    }

    int running(WorkClass workClass) {
        return workClass == WorkClass.SHORT ? shortRunning : longRunning;
    }

    void started(WorkClass workClass) {
        count(workClass, 1);
    }

    void ended(WorkClass workClass) {
        count(workClass, -1);
    }

    private void count(WorkClass workClass, int by) {
        if (workClass == WorkClass.SHORT) {
            shortRunning += by;
        } else {
            longRunning += by;
        }
    }

    /** Returns whether limits, not counting connections, allow one more statement. */
    boolean admits(WorkClass workClass, long now) {
        if (workClass == WorkClass.LONG) {
            return longRunning < longPlaces(now);
        }
        return limiter.admits(shortRunning, now);
    }

    /**
     * Returns how many long statements may be in flight.
     *
     * <p>Without a lease, as when no control process can be reached, one may start while the last
     * status shows a slot beside one for short work. The bound over all proxies is then observed
     * and not enforced: a status is up to 100 ms old.
     */
    int longPlaces(long now) {
        if (share.leased(now)) {
            return share.longPermits(now);
        }
        if (status == null) {
            return 0;
        }
        int forLongWork = Math.max(1, info.slots() - 1);
        return status.running() + status.queued() < forLongWork ? 1 : 0;
    }

    /** Returns the expected wait in the endpoint, by which candidates are compared. */
    double load() {
        int slots = Math.max(1, info.slots() - longRunning);
        return queueingNanos + shortRunning * serviceNanos / slots;
    }
}
