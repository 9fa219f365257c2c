package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.fail;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions with a deadline long enough for a busy machine. */
final class Await {
    static final long DEADLINE_SECONDS = 20;
    private static final long POLL_MILLIS = 5;

    private Await() {}

    static void until(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DEADLINE_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                fail("not within " + DEADLINE_SECONDS + " s: " + description);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }
}
