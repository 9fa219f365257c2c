package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;

/** State that the proxy keeps of one endpoint of the group. */
final class Member {
    private static final double SMOOTHING = 0.2;

    private EndpointInfo info;
    private final Share share = new Share();
    private final InFlightLimiter limiter;
    private EndpointStatus status;
    private long statusSequence;
    private boolean refusedAsLeaving;
    private long lastAnswerAt;
    private int runningShort;
    private int runningLong;
    private double roundTripNanos;
    private double lagNanos;
    private double averageServiceNanos;
    private double averageQueueingNanos;
    private double latestQueueingNanos;

    Member(EndpointInfo info, InFlightLimiter limiter, long now) {
        this.info = info;
        this.limiter = limiter;
        this.lastAnswerAt = now;
    }

    String name() {
        return info.endpoint();
    }

    EndpointInfo info() {
        return info;
    }

    /**
     * Returns whether {@code next} describes a new instance of the endpoint, which moved or lost
     * its data.
     */
    boolean isReplacedBy(EndpointInfo next) {
        return next.incarnation() != info.incarnation() || !next.address().equals(info.address());
    }

    void updateInfo(EndpointInfo next) {
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

    void markLeaving() {
        refusedAsLeaving = true;
    }

    /** Returns the answer to the most recent status request that was answered, or null. */
    EndpointStatus status() {
        return status;
    }

    long statusSequence() {
        return statusSequence;
    }

    /** Stores a status unless an answer to a later request has already been stored. */
    void updateStatus(EndpointStatus next, long sequence) {
        // An endpoint that lost its data is ignored until a new view has its new incarnation.
        if (next.incarnation() != 0 && next.incarnation() != info.incarnation()) {
            return;
        }
        if (status == null || sequence > statusSequence) {
            status = next;
            statusSequence = sequence;
            // Keeps the estimate up to date while the endpoint gets no statements.
            latestQueueingNanos = estimateQueueNanos(next.queued());
            recordQueueing(latestQueueingNanos);
        }
    }

    /**
     * Updates the estimates from an executed short statement.
     *
     * @param queued statements queued in the endpoint when this one ended
     */
    void recordShortStatement(long queuedNanos, long executionNanos, int queued) {
        averageServiceNanos =
                averageServiceNanos == 0
                        ? executionNanos
                        : movingAverage(averageServiceNanos, (double) executionNanos);
        latestQueueingNanos = estimateQueueNanos(queued);
        recordQueueing((double) queuedNanos);
    }

    private double estimateQueueNanos(int queued) {
        return queued * averageServiceNanos / Math.max(1, info.slots());
    }

    private void recordQueueing(double nanos) {
        averageQueueingNanos = movingAverage(averageQueueingNanos, nanos);
    }

    /** Returns the moving average of the queueing time of short statements in the endpoint. */
    double averageQueueingNanos() {
        return averageQueueingNanos;
    }

    /**
     * Returns a time within which most short statements leave the endpoint's queue. The moving
     * average lags behind a load peak, so the last reported queue length is a lower bound.
     */
    double expectedQueueingNanos() {
        return Math.max(2 * averageQueueingNanos, latestQueueingNanos);
    }

    Position last() {
        return status == null ? Position.ZERO : status.last();
    }

    void recordAnswer(long now) {
        lastAnswerAt = now;
    }

    long silentNanos(long now) {
        return Math.max(0, now - lastAnswerAt);
    }

    void recordRoundTrip(long nanos) {
        roundTripNanos =
                roundTripNanos == 0 ? nanos : movingAverage(roundTripNanos, (double) nanos);
    }

    double roundTripNanos() {
        return roundTripNanos;
    }

    /** Records the time that the endpoint took to receive an awaited position. */
    void recordCatchUpTime(long nanos) {
        lagNanos = movingAverage(lagNanos, (double) nanos);
    }

    double lagNanos() {
        return lagNanos;
    }

    private static double movingAverage(double average, double value) {
        return average + SMOOTHING * (value - average);
    }

    int running(WorkClass workClass) {
        return workClass == WorkClass.SHORT ? runningShort : runningLong;
    }

    void statementStarted(WorkClass workClass) {
        adjustRunning(workClass, 1);
    }

    void statementEnded(WorkClass workClass) {
        adjustRunning(workClass, -1);
    }

    private void adjustRunning(WorkClass workClass, int by) {
        if (workClass == WorkClass.SHORT) {
            runningShort += by;
        } else {
            runningLong += by;
        }
    }

    /**
     * Returns whether the statement limits allow one more statement; connections are not checked.
     */
    boolean admits(WorkClass workClass, long now) {
        if (workClass == WorkClass.LONG) {
            return runningLong < longStatementLimit(now);
        }
        return limiter.admits(runningShort, now);
    }

    /**
     * Returns the maximum number of long statements in flight.
     *
     * <p>Without a lease, for example while no control process can be reached, one long statement
     * is allowed if the last status shows that a slot remains free for short work. The bound over
     * all proxies is then best effort, because a status can be 100 ms old.
     */
    int longStatementLimit(long now) {
        if (share.hasLease(now)) {
            return share.longPermits(now);
        }
        if (status == null) {
            return 0;
        }
        int longSlots = Math.max(1, info.slots() - 1);
        return status.running() + status.queued() < longSlots ? 1 : 0;
    }

    /** Returns the expected queueing time in the endpoint, for load balancing. */
    double expectedWaitNanos() {
        int slots = Math.max(1, info.slots() - runningLong);
        return averageQueueingNanos + runningShort * averageServiceNanos / slots;
    }
}
