package org.ragwortmoor.coordination.engine;

/** Baseline: a constant number of statements in flight. */
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
    public void answered(int inFlight, long queuedNanos, long occupiedNanos, long now) {
        // A constant limit learns nothing.
    }

    @Override
    public void refusedBusy(long now) {
        // A constant limit learns nothing.
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
