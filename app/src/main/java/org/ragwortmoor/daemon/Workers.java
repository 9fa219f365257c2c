package org.ragwortmoor.daemon;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The worker pool and the timer of one process. */
final class Workers implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Workers.class);

    private final ExecutorService pool;
    private final ScheduledThreadPoolExecutor timer;

    /**
     * Starts the threads.
     *
     * @param name prefix of the thread names
     * @param threads number of workers
     */
    Workers(String name, int threads) {
        this.pool = Executors.newFixedThreadPool(threads, factory(name + "-worker-"));
        this.timer = new ScheduledThreadPoolExecutor(1, factory(name + "-timer-"));
        timer.setRemoveOnCancelPolicy(true);
    }

    /** Returns the pool; a failing task is logged and does not end its thread. */
    ExecutorService pool() {
        return pool;
    }

    /** Returns the timer. */
    ScheduledThreadPoolExecutor timer() {
        return timer;
    }

    /** Returns a task that logs instead of throwing, so that a periodic timer never stops. */
    static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a periodic task failed and will run again; please report this", e);
            }
        };
    }

    private static ThreadFactory factory(String prefix) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, prefix + count.incrementAndGet());
            thread.setDaemon(true);
            thread.setUncaughtExceptionHandler(
                    (t, e) -> LOG.error("a task failed; please report this", e));
            return thread;
        };
    }

    @Override
    public void close() {
        timer.shutdownNow();
        pool.shutdownNow();
    }
}
