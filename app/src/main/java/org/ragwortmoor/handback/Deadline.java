package org.ragwortmoor.handback;

import java.time.Duration;
import org.ragwortmoor.cli.ExitCode;

/** The end of all waits and retries of a task, on the monotonic clock. */
final class Deadline {
    private static final long MIN_PAUSE_MILLIS = 50;
    private static final long MAX_PAUSE_MILLIS = 1_000;

    private final long endNanos;
    private final String remedy;

    private Deadline(long endNanos, String remedy) {
        this.endNanos = endNanos;
        this.remedy = remedy;
    }

    /** Returns a deadline {@code limit} from now whose error names {@code remedy}. */
    static Deadline after(Duration limit, String remedy) {
        return new Deadline(System.nanoTime() + limit.toNanos(), remedy);
    }

    /**
     * Waits before the next attempt.
     *
     * @param hintMillis wait that the last answer asked for, in milliseconds
     * @param reason why the last attempt failed
     * @throws HandBackException if the deadline has passed or the thread was interrupted
     */
    void pause(long hintMillis, String reason) throws HandBackException {
        if (System.nanoTime() - endNanos >= 0) {
            throw new HandBackException(
                    ExitCode.ENVIRONMENT, "the deadline has passed: " + reason + "; " + remedy);
        }
        try {
            Thread.sleep(Math.max(MIN_PAUSE_MILLIS, Math.min(MAX_PAUSE_MILLIS, hintMillis)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HandBackException(ExitCode.ENVIRONMENT, "interrupted; " + remedy);
        }
    }
}
