package org.ragwortmoor.coordination.balancing;

import java.util.concurrent.TimeUnit;

/** What the answers of a server to one proxy have shown. */
public final class AnswerFigures {
    /** Weight of the newest sample in the moving averages. */
    private static final double SAMPLE_WEIGHT = 0.2;

    /** Time for which {@link #failureRate} remembers the last failure. */
    private static final long FAILURE_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time constant of the moving average of the latency. A sample that follows a pause of this
     * length outweighs all earlier ones.
     */
    private static final double LATENCY_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Weight of an answer that is slower than the best recent one in that value; lets it follow a
     * server that has become slower. The rise per answer is limited: without a limit, the best
     * latency followed a local server that took 30 times as long so fast that no read left it.
     */
    private static final double BEST_RISE = 0.07;

    /** Weights of a failure and of a success in the share of failures. */
    private static final double FAILURE_WEIGHT = 0.15;

    private static final double SUCCESS_WEIGHT = 0.3;

    /** Time constant with which a share of failures loses its effect without a new answer. */
    private static final double FAILURE_DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time over which the share of a server that has returned grows. */
    private static final double RETURN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final double MIN_RETURN_SHARE = 0.1;
    private static final double NANOS_PER_MILLI = 1e6;

    private double averageMillis = 10;
    private double recentFailures;
    private long failedAt;
    private boolean known;
    private boolean failed;
    private boolean unreachable;
    private double latency;
    private double best;
    private double failureShare;
    private long answeredAt;
    private long refreshedAt;
    private long returnedAt;

    /** Creates the figures of a server that this proxy learns of at the given time. */
    public AnswerFigures(long now) {
        failedAt = now;
        answeredAt = now;
        refreshedAt = now;
        returnedAt = now;
    }

    /** Adds the latency of a statement that succeeded. */
    public void recordAnswer(long nanos, long now) {
        double millis = nanos / NANOS_PER_MILLI;
        averageMillis += SAMPLE_WEIGHT * (millis - averageMillis);
        recentFailures -= SAMPLE_WEIGHT * recentFailures;
        if (known) {
            double pause = 1 - Math.exp(-(now - answeredAt) / LATENCY_MEMORY_NANOS);
            latency += Math.max(SAMPLE_WEIGHT, pause) * (millis - latency);
            best = Math.min(millis, best + BEST_RISE * Math.min(millis - best, best));
        } else {
            known = true;
            latency = millis;
            best = millis;
        }
        failureShare -= SUCCESS_WEIGHT * failureShare;
        answeredAt = now;
        refreshedAt = now;
    }

    /** Records that the server executed a statement and failed. */
    public void recordFailure(long now) {
        recentFailures += SAMPLE_WEIGHT * (1 - recentFailures);
        failureShare += FAILURE_WEIGHT * (1 - failureShare);
        failedAt = now;
        refreshedAt = now;
        failed = true;
    }

    /** Records that no connection could be opened. */
    public void recordUnreachable() {
        unreachable = true;
    }

    /** Records that a connection was opened. */
    public void recordOpened(long now) {
        if (unreachable) {
            unreachable = false;
            returnedAt = now;
        }
    }

    /** Returns the moving average of the latency. */
    public double averageMillis() {
        return averageMillis;
    }

    /** Returns the share of the recent statements that failed; 0 some time after the last one. */
    public double failureRate(long now) {
        return now - failedAt < FAILURE_MEMORY_NANOS ? recentFailures : 0;
    }

    /** Returns whether an answer has arrived. */
    boolean known() {
        return known;
    }

    /** Returns the best recent latency, in milliseconds. */
    double best() {
        return best;
    }

    /** Returns the recent latency, in milliseconds. */
    double latency() {
        return latency;
    }

    /** Returns by how much the recent latency exceeds the best one, in milliseconds. */
    double excess() {
        return latency - best;
    }

    /** Returns the time since the figures were refreshed, or since the server was last tried. */
    long age(long now) {
        return now - refreshedAt;
    }

    /** Records that a read is sent in order to refresh the figures. */
    void markTried(long now) {
        refreshedAt = now;
    }

    /** Returns the share of failures, which loses its effect with its age. */
    double failureShare(long now) {
        return failed ? failureShare * Math.exp(-age(now) / FAILURE_DECAY_NANOS) : 0;
    }

    /** Returns the share of its normal work that a server gets after its return. */
    double returnShare(long now) {
        double share = (now - returnedAt) / RETURN_NANOS;
        return Math.max(MIN_RETURN_SHARE, Math.min(1, share));
    }
}
