package org.ragwortmoor.directory;

import java.util.function.LongSupplier;

/** Limits the rate of log lines and counts those that are omitted. */
final class LineLimit {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final int linesPerSecond;
    private final LongSupplier clock;
    private long windowStart;
    private int linesInWindow;
    private long omitted;

    /**
     * Creates a limit.
     *
     * @param clock monotonic clock, in nanoseconds
     */
    LineLimit(int linesPerSecond, LongSupplier clock) {
        this.linesPerSecond = linesPerSecond;
        this.clock = clock;
        this.windowStart = clock.getAsLong();
    }

    /** Returns whether a line may be written now; counts it as omitted if not. */
    boolean tryAcquire() {
        long now = clock.getAsLong();
        if (now - windowStart >= SECOND_NANOS) {
            windowStart = now;
            linesInWindow = 0;
        }
        linesInWindow++;
        boolean allowed = linesInWindow <= linesPerSecond;
        omitted += allowed ? 0 : 1;
        return allowed;
    }

    /** Returns how many lines were omitted since the last call. */
    long takeOmitted() {
        long taken = omitted;
        omitted = 0;
        return taken;
    }
}
