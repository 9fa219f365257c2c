package org.ragwortmoor.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Switches the faults of a schedule on one thread. */
final class FaultRunner implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FaultRunner.class);

    private final LoadTarget target;
    private final long start;
    private final ScheduledExecutorService timer;
    private final List<Event> events = new ArrayList<>();

    /**
     * A fault that was switched on.
     *
     * @param atNanos time after the start of the load at which the switch was thrown
     * @param text what was done
     */
    record Event(long atNanos, String text) {}

    FaultRunner(LoadTarget target, List<FaultPlan> plans, long start) {
        this.target = target;
        this.start = start;
        this.timer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "load-faults");
                            thread.setDaemon(true);
                            return thread;
                        });
        for (FaultPlan plan : plans) {
            at(plan.atMillis(), () -> apply(plan));
            if (plan.forMillis() > 0) {
                at(plan.atMillis() + plan.forMillis(), () -> target.clear(plan));
            }
        }
    }

    private void at(long millis, Runnable action) {
        long delay = start + TimeUnit.MILLISECONDS.toNanos(millis) - System.nanoTime();
        timer.schedule(action, delay, TimeUnit.NANOSECONDS);
    }

    private void apply(FaultPlan plan) {
        long at = System.nanoTime() - start;
        try {
            String done = target.apply(plan);
            LOG.info("fault at {} ms: {}", TimeUnit.NANOSECONDS.toMillis(at), done);
            add(new Event(at, done));
        } catch (RuntimeException e) {
            LOG.warn("fault {} could not be switched", plan, e);
            add(new Event(at, plan.kind() + " of " + plan.target() + " failed: " + e));
        }
    }

    private synchronized void add(Event event) {
        events.add(event);
    }

    synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** Waits for a switch that is being thrown and drops those that are due later. */
    @Override
    public void close() {
        timer.shutdownNow();
        try {
            timer.awaitTermination(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
