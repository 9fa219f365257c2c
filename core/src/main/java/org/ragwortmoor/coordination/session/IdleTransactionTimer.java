package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;

/** Reports that the transaction of a session has been idle for too long. */
final class IdleTransactionTimer {
    private final SessionEngine engine;
    private final Runnable expired;
    private SessionHost.Timer timer;

    IdleTransactionTimer(SessionEngine engine, Runnable expired) {
        this.engine = engine;
        this.expired = expired;
    }

    /** Starts to measure the idle time, if it is limited. */
    void start() {
        cancel();
        long limit = TimeUnit.MILLISECONDS.toNanos(engine.idleTransactionMillis());
        if (limit > 0) {
            timer = engine.host().schedule(engine.host().now() + limit, expired);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
