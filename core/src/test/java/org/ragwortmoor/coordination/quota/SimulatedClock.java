package org.ragwortmoor.coordination.quota;

/** Monotonic clock of a machine that runs a little fast or slow, and stands while suspended. */
final class SimulatedClock {
    private final double rate;
    private final long origin;
    private long suspendedNanos;

    SimulatedClock(double rate, long origin) {
        this.rate = rate;
        this.origin = origin;
    }

    void addSuspension(long nanos) {
        suspendedNanos += nanos;
    }

    long read(long time) {
        return origin + (long) ((time - suspendedNanos) * rate);
    }

    /** Returns the wall clock, which was adjusted, minus the monotonic clock, in milliseconds. */
    long offsetMillis(long time) {
        long ideal = (long) (time * rate);
        return (ideal - read(time)) / 1_000_000;
    }
}
