package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * Finds out whether a write was executed, and cancels it if not.
 *
 * <p>The outcome counts only when a majority holds its position: a cancellation mark or an entry
 * that a promotion discards proves nothing.
 */
final class OutcomeQuery {
    private final EngineContext ctx;
    private final Task task;
    private final WriteIdentity identity;
    private final Listener listener;
    private long term = -1;
    private int step;
    private boolean sent;

    OutcomeQuery(Task task, WriteIdentity identity, Listener listener) {
        this.ctx = task.ctx();
        this.task = task;
        this.identity = identity;
        this.listener = listener;
    }

    /** Receives the outcome; at most one call, none after the request was answered. */
    interface Listener {
        void executed(Position position);

        /** The write was not executed, and no attempt up to the queried one ever will be. */
        void cancelled();
    }

    void start() {
        step++;
        sent = false;
        int current = step;
        ctx.admission().urgent(() -> trySend(current));
    }

    /** Asks the new primary if the question went to an older one. */
    void groupChanged() {
        if (sent && term < ctx.view().term()) {
            start();
        }
    }

    private boolean trySend(int current) {
        if (current != step || task.answered()) {
            return true;
        }
        Member primary = ctx.primary();
        PooledConnection connection = primary == null ? null : ctx.pool().lend(primary);
        if (connection == null) {
            return false;
        }
        term = ctx.view().term();
        sent = true;
        ctx.count(Counter.RESOLVES);
        Statement.send(
                task,
                primary,
                connection,
                false,
                new EndpointCall.Resolve(term, identity),
                new Exchange.Handler() {
                    @Override
                    public void answered(EndpointAnswer answer) {
                        if (current != step || task.answered()) {
                            return;
                        }
                        sent = false;
                        if (answer instanceof EndpointAnswer.Resolved resolved) {
                            confirm(resolved, current);
                        } else {
                            ctx.after(ctx.settings().retryDelayNanos(), () -> restart(current));
                        }
                    }

                    @Override
                    public void lost(String reason) {
                        restart(current);
                    }
                });
        return true;
    }

    private void restart(int current) {
        if (current == step && !task.answered()) {
            start();
        }
    }

    private void confirm(EndpointAnswer.Resolved resolved, int current) {
        ctx.confirmations()
                .awaitMajority(
                        resolved.position(),
                        ReadTask.listener(
                                () -> {
                                    if (current == step && !task.answered()) {
                                        report(resolved);
                                    }
                                },
                                () -> restart(current)));
    }

    private void report(EndpointAnswer.Resolved resolved) {
        step++;
        if (resolved.executed()) {
            listener.executed(resolved.position());
        } else {
            listener.cancelled();
        }
    }
}
