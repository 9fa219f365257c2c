package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.fail;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions with a generous deadline, so that a busy machine does not fail a test. */
final class Await {
    static final long DEADLINE_SECONDS = 20;
    private static final long POLL_MILLIS = 5;

    private Await() {}

    static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DEADLINE_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                fail("not within " + DEADLINE_SECONDS + " s: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }
}
