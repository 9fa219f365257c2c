package org.ragwortmoor.coordination.engine;

/** Baseline limiter: a constant number of statements in flight. */
final class FixedLimiter implements InFlightLimiter {
    private final int limit;

    FixedLimiter(int limit) {
        this.limit = limit;
    }

    @Override
    public boolean admits(int inFlight, long now) {
        return inFlight < limit;
    }

    @Override
    public void recordAnswer(int inFlight, long queuedNanos, long responseNanos, long now) {
        // The limit is constant.
    }

    @Override
    public void recordBusy(long now) {
        // The limit is constant.
    }

    @Override
    public double limit() {
        return limit;
    }

    @Override
    public long pausedUntil() {
        return Long.MIN_VALUE;
    }
}
