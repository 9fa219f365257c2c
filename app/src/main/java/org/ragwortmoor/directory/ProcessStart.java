package org.ragwortmoor.directory;

/**
 * Start time of this process.
 *
 * @param at value of {@link System#nanoTime}
 */
public record ProcessStart(long at) {
    /** Returns the current time; must be called before any other initialization. */
    public static ProcessStart now() {
        return new ProcessStart(System.nanoTime());
    }
}
