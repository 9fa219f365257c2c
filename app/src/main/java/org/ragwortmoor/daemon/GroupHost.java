package org.ragwortmoor.daemon;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.engine.CallerAnswer;
import org.ragwortmoor.coordination.engine.EngineAction;
import org.ragwortmoor.coordination.engine.EngineDump;
import org.ragwortmoor.coordination.engine.EngineEvent;
import org.ragwortmoor.coordination.engine.GroupEngine;

/**
 * Runs one {@link GroupEngine}: events are handled under the group's lock, actions are carried out
 * in order after it was released.
 *
 * <p>The lock is the second in the lock order (directory, group, connection). Since no action runs
 * under it, a reply or a send may start further events of any group.
 */
final class GroupHost implements AutoCloseable {
    /** Ticks closer together than this are merged, so that timers cost little. */
    private static final long TIMER_RESOLUTION_NANOS = 200_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final ConcurrentLinkedQueue<EngineAction> outbox = new ConcurrentLinkedQueue<>();
    private final AtomicInteger draining = new AtomicInteger();
    private final String group;
    private final GroupEngine engine;
    private final EndpointPort port;
    private final Consumer<CallerAnswer> replies;
    private final ScheduledExecutorService timer;
    private final LongSupplier clock;
    private final Runnable beforeEvent;

    /** Guarded by {@link #lock}. */
    private long scheduledAt = Long.MAX_VALUE;

    /** Guarded by {@link #lock}. */
    private ScheduledFuture<?> scheduled;

    /** Guarded by {@link #lock}. */
    private boolean closed;

    /**
     * Creates a host.
     *
     * @param clock monotonic time in nanoseconds
     * @param beforeEvent called without the lock before each event; may submit events itself
     */
    GroupHost(
            String group,
            GroupEngine engine,
            EndpointPort port,
            Consumer<CallerAnswer> replies,
            ScheduledExecutorService timer,
            LongSupplier clock,
            Runnable beforeEvent) {
        this.group = group;
        this.engine = engine;
        this.port = port;
        this.replies = replies;
        this.timer = timer;
        this.clock = clock;
        this.beforeEvent = beforeEvent;
    }

    /** Returns the name of the group. */
    String group() {
        return group;
    }

    /** Handles an event and carries out what the engine decides. */
    void submit(EngineEvent event) {
        beforeEvent.run();
        lock.lock();
        try {
            if (closed) {
                return;
            }
            List<EngineAction> actions = engine.handle(event, clock.getAsLong());
            outbox.addAll(actions);
            schedule(engine.nextDeadline());
        } finally {
            lock.unlock();
        }
        drain();
    }

    /** Returns the state of the engine. */
    EngineDump dump() {
        lock.lock();
        try {
            return engine.dump();
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether a planned stop is complete. */
    boolean stopped() {
        lock.lock();
        try {
            return engine.stopped();
        } finally {
            lock.unlock();
        }
    }

    private void schedule(long deadline) {
        if (deadline == Long.MAX_VALUE || deadline >= scheduledAt - TIMER_RESOLUTION_NANOS) {
            return;
        }
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        long delay = Math.max(TIMER_RESOLUTION_NANOS, deadline - clock.getAsLong());
        scheduledAt = deadline;
        scheduled = timer.schedule(this::tick, delay, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        lock.lock();
        try {
            scheduledAt = Long.MAX_VALUE;
            scheduled = null;
        } finally {
            lock.unlock();
        }
        submit(new EngineEvent.Tick());
    }

    /** One thread at a time carries out actions, so that their order is that of the decisions. */
    private void drain() {
        if (draining.getAndIncrement() != 0) {
            return;
        }
        int handled = 1;
        while (handled != 0) {
            EngineAction action = outbox.poll();
            while (action != null) {
                perform(action);
                action = outbox.poll();
            }
            handled = draining.addAndGet(-handled);
        }
    }

    private void perform(EngineAction action) {
        if (action instanceof EngineAction.Send send) {
            port.send(this, send.connection(), send.exchange(), send.call());
        } else if (action instanceof EngineAction.Reply reply) {
            replies.accept(reply.answer());
        } else if (action instanceof EngineAction.OpenConnection open) {
            port.open(this, open.endpoint(), open.address(), open.connection());
        } else if (action instanceof EngineAction.CloseConnection close) {
            port.close(this, close.connection());
        }
    }

    /** Stops handling events. */
    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            if (scheduled != null) {
                scheduled.cancel(false);
            }
        } finally {
            lock.unlock();
        }
    }
}
