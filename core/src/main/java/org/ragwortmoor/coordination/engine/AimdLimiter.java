package org.ragwortmoor.coordination.engine;

/**
 * Adaptive limit: additive increase while the queueing time in the endpoint is low, multiplicative
 * decrease otherwise (AIMD).
 *
 * <p>Several proxies share few slots, so the limit may fall below one statement; the proxy then
 * pauses between statements. With a minimum of one, seven proxies would keep a permanent queue in
 * front of two slots.
 */
final class AimdLimiter implements InFlightLimiter {
    private static final double MIN_LIMIT = 0.2;
    private static final double MAX_LIMIT = 256;

    /** Increase of the limit per {@code limit} answers, that is, about once per round trip. */
    private static final double INCREASE = 0.25;

    private static final double DECREASE_FACTOR = 0.85;
    private static final double SMOOTHING = 0.1;

    /**
     * Queueing up to this fraction of the service time is attributed to random arrivals, not to
     * overload.
     */
    private static final double TOLERATED_WAIT_RATIO = 0.5;

    private final long targetNanos;
    private double limit;
    private double averageServiceNanos;
    private long decreasedAt = Long.MIN_VALUE;
    private long pausedUntil = Long.MIN_VALUE;

    AimdLimiter(double initialLimit, long targetNanos) {
        this.limit = initialLimit;
        this.targetNanos = targetNanos;
    }

    @Override
    public boolean admits(int inFlight, long now) {
        return inFlight < Math.max(1, (int) limit) && now >= pausedUntil;
    }

    @Override
    public void recordAnswer(int inFlight, long queuedNanos, long responseNanos, long now) {
        double service = Math.max(0, responseNanos - queuedNanos);
        averageServiceNanos =
                averageServiceNanos == 0 ? service : movingAverage(averageServiceNanos, service);
        if (queuedNanos > targetNanos + TOLERATED_WAIT_RATIO * averageServiceNanos) {
            decrease(responseNanos, now);
        } else if (inFlight + 1 >= (int) limit) {
            limit = Math.min(MAX_LIMIT, limit + 1 / Math.max(1, limit) * INCREASE);
        }
        if (limit < 1) {
            pausedUntil = now + (long) (responseNanos * (1 / limit - 1));
        }
    }

    private static double movingAverage(double average, double value) {
        return average + SMOOTHING * (value - average);
    }

    /**
     * Decreases at most once per round trip, because all statements in flight report the same
     * queue.
     */
    private void decrease(long roundTrip, long now) {
        if (decreasedAt == Long.MIN_VALUE || now - decreasedAt >= roundTrip) {
            limit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
            decreasedAt = now;
        }
    }

    @Override
    public void recordBusy(long now) {
        decrease((long) averageServiceNanos, now);
    }

    @Override
    public double limit() {
        return limit;
    }

    @Override
    public long pausedUntil() {
        return pausedUntil;
    }
}
