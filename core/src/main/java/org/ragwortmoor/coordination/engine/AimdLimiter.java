package org.ragwortmoor.coordination.engine;

/**
 * Additive increase while the endpoint's queueing is small, multiplicative decrease above.
 *
 * <p>Several proxies share few slots, so the limit may fall below one statement: the proxy then
 * pauses between statements. Without this, seven proxies with one statement each would keep a
 * constant queue in front of two slots.
 */
final class AimdLimiter implements InFlightLimiter {
    private static final double SMALLEST = 0.2;
    private static final double LARGEST = 256;
    private static final double DECREASE = 0.85;
    private static final double SMOOTHING = 0.1;

    /** A wait of this share of the service time is caused by random arrivals, not by overload. */
    private static final double TOLERATED_SHARE = 0.5;

    private final long targetNanos;
    private double limit;
    private double serviceNanos;
    private long decreasedAt = Long.MIN_VALUE;
    private long pausedUntil = Long.MIN_VALUE;

    AimdLimiter(double first, long targetNanos) {
        this.limit = first;
        this.targetNanos = targetNanos;
    }

    @Override
    public boolean admits(int inFlight, long now) {
        return inFlight < Math.max(1, (int) limit) && now >= pausedUntil;
    }

    @Override
    public void answered(int inFlight, long queuedNanos, long occupiedNanos, long now) {
        double service = Math.max(0, occupiedNanos - queuedNanos);
        serviceNanos = serviceNanos == 0 ? service : mix(serviceNanos, service);
        if (queuedNanos > targetNanos + TOLERATED_SHARE * serviceNanos) {
            decrease(occupiedNanos, now);
        } else if (inFlight + 1 >= (int) limit) {
            limit = Math.min(LARGEST, limit + 1 / Math.max(1, limit) * 0.25);
        }
        if (limit < 1) {
            pausedUntil = now + (long) (occupiedNanos * (1 / limit - 1));
        }
    }

    private static double mix(double average, double value) {
        return average + SMOOTHING * (value - average);
    }

    /** At most one decrease per round trip: the statements in flight all report one queue. */
    private void decrease(long roundTrip, long now) {
        if (decreasedAt == Long.MIN_VALUE || now - decreasedAt >= roundTrip) {
            limit = Math.max(SMALLEST, limit * DECREASE);
            decreasedAt = now;
        }
    }

    @Override
    public void refusedBusy(long now) {
        decrease((long) serviceNanos, now);
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
