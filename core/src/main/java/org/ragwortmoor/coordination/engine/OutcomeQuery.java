package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * Determines whether a write was executed, and cancels it if it was not.
 *
 * <p>The outcome is reported only once a majority holds its position, because a promotion can
 * discard an unconfirmed entry or cancellation mark.
 */
final class OutcomeQuery {
    private final EngineContext ctx;
    private final Task task;
    private final WriteIdentity identity;
    private final Listener listener;
    private long term = -1;
    private int generation;
    private boolean awaitingAnswer;

    OutcomeQuery(Task task, WriteIdentity identity, Listener listener) {
        this.ctx = task.ctx();
        this.task = task;
        this.identity = identity;
        this.listener = listener;
    }

    /** Receives the outcome: at most one call, and none after the request was answered. */
    interface Listener {
        void onExecuted(Position position);

        /** The write was not executed, and no attempt up to the queried one will be executed. */
        void onCancelled();
    }

    void start() {
        generation++;
        awaitingAnswer = false;
        int sentGeneration = generation;
        ctx.admission().sendUrgently(() -> trySend(sentGeneration));
    }

    /** Repeats the query on the new primary if it was sent in an older term. */
    void onNewTerm() {
        if (awaitingAnswer && term < ctx.view().term()) {
            start();
        }
    }

    private boolean trySend(int sentGeneration) {
        if (sentGeneration != generation || task.answered()) {
            return true;
        }
        Member primary = ctx.primary();
        PooledConnection connection = primary == null ? null : ctx.pool().acquire(primary);
        if (connection == null) {
            return false;
        }
        term = ctx.view().term();
        awaitingAnswer = true;
        ctx.count(Counter.RESOLVES);
        InFlightStatement.send(
                task,
                primary,
                connection,
                false,
                new EndpointCall.Resolve(term, identity),
                new Exchange.Handler() {
                    @Override
                    public void onAnswer(EndpointAnswer answer) {
                        if (sentGeneration != generation || task.answered()) {
                            return;
                        }
                        awaitingAnswer = false;
                        if (answer instanceof EndpointAnswer.Resolved resolved) {
                            confirm(resolved, sentGeneration);
                        } else {
                            ctx.after(
                                    ctx.settings().retryDelayNanos(),
                                    () -> restart(sentGeneration));
                        }
                    }

                    @Override
                    public void onConnectionLost(String reason) {
                        restart(sentGeneration);
                    }
                });
        return true;
    }

    private void restart(int sentGeneration) {
        if (sentGeneration == generation && !task.answered()) {
            start();
        }
    }

    private void confirm(EndpointAnswer.Resolved resolved, int sentGeneration) {
        ctx.confirmations()
                .awaitMajority(
                        resolved.position(),
                        ReadTask.waitListener(
                                () -> {
                                    if (sentGeneration == generation && !task.answered()) {
                                        notifyListener(resolved);
                                    }
                                },
                                () -> restart(sentGeneration)));
    }

    private void notifyListener(EndpointAnswer.Resolved resolved) {
        generation++;
        if (resolved.executed()) {
            listener.onExecuted(resolved.position());
        } else {
            listener.onCancelled();
        }
    }
}
