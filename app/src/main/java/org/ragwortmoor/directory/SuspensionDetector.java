package org.ragwortmoor.directory;

/**
 * Detects that the VM was suspended: the monotonic clock stops meanwhile, the wall clock does not.
 *
 * <p>A lease that is measured with the monotonic clock seems valid after a suspension although it
 * has expired for others. A step of the wall clock cannot be told from a suspension and counts as
 * one.
 */
final class SuspensionDetector {
    /** Change of the difference between the clocks from which the process was suspended. */
    private static final long THRESHOLD_MILLIS = 60;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private long offsetMillis;
    private long suspendedAt;

    /** Starts to compare the clocks. */
    SuspensionDetector(long now, long wallMillis) {
        offsetMillis = wallMillis - now / NANOS_PER_MILLI;
        suspendedAt = now;
    }

    /**
     * Returns whether the process has run without a suspension since a time.
     *
     * @param since time in nanoseconds of the monotonic clock
     * @param now current time of the monotonic clock
     * @param wallMillis current wall clock, in milliseconds
     */
    boolean runningSince(long since, long now, long wallMillis) {
        long offset = wallMillis - now / NANOS_PER_MILLI;
        if (Math.abs(offset - offsetMillis) >= THRESHOLD_MILLIS) {
            suspendedAt = now;
        }
        offsetMillis = offset;
        return suspendedAt - since <= 0;
    }
}
