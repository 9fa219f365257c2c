package org.ragwortmoor.cli;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps a process running until its planned stop, which SIGTERM and the API both begin. */
final class ProcessRunner {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessRunner.class);

    /** Closing the listeners and files takes less; a hanging close must not keep the process. */
    private static final long CLOSE_MILLIS = 10_000;

    private ProcessRunner() {}

    /**
     * Waits for the planned stop and closes the process.
     *
     * @param node the process
     * @param drain begins the planned stop; may be called twice
     * @param stopped completes when the planned stop is complete
     * @param stopMillis longest wait for the planned stop after SIGTERM, in milliseconds
     */
    static ExitCode runUntilStopped(
            AutoCloseable node, Runnable drain, CompletableFuture<Void> stopped, long stopMillis) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        Thread hook =
                new Thread(
                        () -> {
                            drain.run();
                            // The virtual machine halts when its hooks have ended, also while
                            // the last answers are still being written.
                            if (await(stopped, stopMillis)) {
                                await(closed, CLOSE_MILLIS);
                            }
                        },
                        "planned-stop");
        Runtime.getRuntime().addShutdownHook(hook);
        ExitCode code = ExitCode.OK;
        try {
            stopped.join();
        } catch (CompletionException e) {
            LOG.error("the process failed", e.getCause());
            code = ExitCode.ENVIRONMENT;
        }
        try {
            node.close();
        } catch (Exception e) {
            LOG.warn("the process did not close cleanly", e);
        }
        closed.complete(null);
        return code;
    }

    /** Returns whether the step ended in time. */
    private static boolean await(CompletableFuture<Void> step, long millis) {
        try {
            step.get(millis, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            LOG.warn("the planned stop was not complete after {} ms; stopping now", millis);
        } catch (ExecutionException e) {
            LOG.warn("the planned stop failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return false;
    }
}
