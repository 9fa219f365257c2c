package org.ragwortmoor.daemon;

import java.time.Duration;
import java.util.function.Supplier;

/** Waits for a condition, so that tests need no fixed sleeps. */
public final class Eventually {
    private static final long POLL_MILLIS = 20;

    private Eventually() {}

    /** Returns once {@code condition} holds; fails with the last state after {@code limit}. */
    public static void await(
            String what, Duration limit, Supplier<Boolean> condition, Supplier<Object> state) {
        long deadline = System.nanoTime() + limit.toNanos();
        while (!condition.get()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError(
                        what + " did not happen within " + limit + ": " + state.get());
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }
}
