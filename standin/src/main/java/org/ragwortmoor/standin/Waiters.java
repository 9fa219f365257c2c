package org.ragwortmoor.standin;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Calls that wait for a change of the database or for a deadline. Confined to its event loop but
 * for {@link #changed}.
 */
final class Waiters {
    private final EventLoop loop;
    private final Set<Waiter> waiting = new LinkedHashSet<>();

    private static final class Waiter {
        private final BooleanSupplier ready;
        private final Runnable answer;
        private ScheduledFuture<?> timeout;

        Waiter(BooleanSupplier ready, Runnable answer) {
            this.ready = ready;
            this.answer = answer;
        }
    }

    Waiters(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs {@code answer} once, as soon as {@code ready} holds or the time is over. */
    void await(BooleanSupplier ready, long waitMicros, Runnable answer) {
        if (ready.getAsBoolean() || waitMicros <= 0) {
            answer.run();
            return;
        }
        Waiter waiter = new Waiter(ready, answer);
        waiting.add(waiter);
        waiter.timeout = loop.schedule(() -> finish(waiter), waitMicros, TimeUnit.MICROSECONDS);
    }

    /** Checks all waiting calls soon; callable from any thread. */
    void changed() {
        loop.execute(this::check);
    }

    private void check() {
        for (Waiter waiter : new ArrayList<>(waiting)) {
            if (waiter.ready.getAsBoolean()) {
                finish(waiter);
            }
        }
    }

    private void finish(Waiter waiter) {
        if (waiting.remove(waiter)) {
            waiter.timeout.cancel(false);
            waiter.answer.run();
        }
    }
}
