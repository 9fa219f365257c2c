package org.ragwortmoor.directory;

/**
 * The time at which this process began.
 *
 * @param at nanoseconds of the monotonic clock
 */
public record ProcessStart(long at) {
    /** Returns the present as the start; to be called first of all. */
    public static ProcessStart now() {
        return new ProcessStart(System.nanoTime());
    }
}
