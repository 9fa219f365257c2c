package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * A write that runs as one transaction.
 *
 * <p>It is complete when a majority holds its position. If its answer is lost, the outcome is
 * resolved before any retry, so that at most one attempt can be executed.
 */
final class WriteTask extends Task {
    private final CallerRequest.Write write;
    private int attempt;
    private int generation;
    private long sentTerm = -1;
    private boolean inDoubt;
    private boolean cancelledByOtherProxy;
    private OutcomeQuery query;
    private Runnable pendingRefusal;

    WriteTask(EngineContext ctx, CallerRequest.Write write) {
        super(ctx, write, Destination.PRIMARY, write.label());
        this.write = write;
        this.attempt = write.identity().attempt();
    }

    @Override
    void start() {
        boolean validAttempt = attempt >= 1 && attempt < WriteIdentity.LAST_ATTEMPT;
        if (write.operations().isEmpty() || !validAttempt || write.identity().key().isEmpty()) {
            refuse(
                    ErrorKind.BAD_REQUEST,
                    "a write needs operations, an idempotency key and an attempt from 1 on",
                    0);
            return;
        }
        workClass(ctx().admission().classify(label()));
        ctx().admission().submit(this);
    }

    @Override
    void run(Member member, PooledConnection connection) {
        int sentGeneration = ++generation;
        sentTerm = ctx().view().term();
        inDoubt = true;
        EndpointCall call =
                new EndpointCall.Write(
                        sentTerm, write.operations(), identity(), write.serviceMicros());
        InFlightStatement.send(
                this,
                member,
                connection,
                false,
                call,
                new Exchange.Handler() {
                    @Override
                    public void onAnswer(EndpointAnswer answer) {
                        if (sentGeneration != generation || answered()) {
                            return;
                        }
                        sentTerm = -1;
                        if (answer instanceof EndpointAnswer.Result result) {
                            confirm(result, member);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            inDoubt = false;
                            handleRefusal(refused);
                        }
                    }

                    @Override
                    public void onConnectionLost(String reason) {
                        if (sentGeneration == generation && !answered()) {
                            resolve();
                        }
                    }
                });
    }

    private WriteIdentity identity() {
        return new WriteIdentity(write.identity().key(), attempt);
    }

    private void confirm(EndpointAnswer.Result result, Member member) {
        long answeredAt = ctx().now();
        ctx().confirmations()
                .awaitMajority(
                        result.position(),
                        ReadTask.waitListener(
                                () -> completeWrite(result, member, answeredAt),
                                () -> {
                                    if (!answered()) {
                                        resolve();
                                    }
                                }));
    }

    private void completeWrite(EndpointAnswer.Result result, Member member, long answeredAt) {
        if (!answered()) {
            ctx().confirmations().recordConfirmationTime(ctx().now() - answeredAt);
            ctx().count(Counter.WRITES_CONFIRMED);
            complete(result.records(), result.position(), member, result.duplicate(), "");
        }
    }

    private void handleRefusal(EndpointAnswer.Refused refused) {
        if (pendingRefusal != null && refused.kind() != RefusalKind.CANCELLED) {
            pendingRefusal.run();
            return;
        }
        switch (refused.kind()) {
            case CONFLICT ->
                    refuse(ErrorKind.CONFLICT, "another transaction changed the records first", 1);
            case BAD_REQUEST -> refuse(ErrorKind.BAD_REQUEST, refused.message(), 0);
            case CANCELLED -> retryUnderNextAttempt(refused.cancelledAttempt());
            case BUSY -> {
                if (ctx().tryConsumeRetry()) {
                    ctx().admission().requeueAfter(this, ctx().settings().retryDelayNanos());
                } else {
                    refuse(ErrorKind.OVERLOADED, "the primary has too much work", 50);
                }
            }
            default -> {
                ctx().admission().placement().pausePrimary();
                ctx().admission().requeue(this);
            }
        }
    }

    /**
     * Retries a write after another proxy with the same write cancelled an unanswered attempt of
     * its own. A key that was cancelled by an outcome query is never executed, because the caller
     * of the query was told "not run".
     */
    private void retryUnderNextAttempt(int cancelledAttempt) {
        if (cancelledAttempt == WriteIdentity.LAST_ATTEMPT) {
            refuse(
                    ErrorKind.CANCELLED,
                    "a query of its outcome cancelled the write; send it again under a new key",
                    0);
            return;
        }
        if (pendingRefusal != null) {
            pendingRefusal.run();
            return;
        }
        if (isCallerLost() || (cancelledByOtherProxy && !ctx().tryConsumeRetry())) {
            refuse(ErrorKind.CANCELLED, "the write was cancelled", 0);
            return;
        }
        cancelledByOtherProxy = true;
        attempt = Math.max(attempt, cancelledAttempt) + 1;
        ctx().admission().requeue(this);
    }

    /** Resolves an unknown outcome to "done" or "not run". */
    private void resolve() {
        generation++;
        sentTerm = -1;
        query =
                new OutcomeQuery(
                        this,
                        identity(),
                        new OutcomeQuery.Listener() {
                            @Override
                            public void onExecuted(Position position) {
                                ctx().count(Counter.WRITES_CONFIRMED);
                                complete(java.util.List.of(), position, ctx().primary(), true, "");
                            }

                            @Override
                            public void onCancelled() {
                                handleCancellation();
                            }
                        });
        query.start();
    }

    private void handleCancellation() {
        inDoubt = false;
        query = null;
        if (pendingRefusal != null) {
            pendingRefusal.run();
        } else if (!isCallerLost() && ctx().tryConsumeRetry()) {
            ctx().count(Counter.WRITE_RETRIES);
            attempt++;
            ctx().admission().requeue(this);
        } else {
            refuse(ErrorKind.CONNECTION_LOST, "the connection was lost before execution", 50);
        }
    }

    @Override
    long expectedConfirmationNanos() {
        return ctx().confirmations().expectedConfirmationNanos();
    }

    /** Resolves the outcome on the new primary, because the old one may never answer. */
    @Override
    void onNewTerm() {
        if (query != null) {
            query.onNewTerm();
        } else if (sentTerm >= 0 && sentTerm < ctx().view().term()) {
            resolve();
        }
    }

    @Override
    void answerAtDeadline() {
        if (inDoubt) {
            answerUnknown(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the write was sent and not confirmed in time; ask for its outcome by its key");
        } else {
            refuse(ErrorKind.DEADLINE_EXCEEDED, "the write was not sent in time", 50);
        }
    }

    /** A sent attempt is decided by its answer or its cancellation and is not retried. */
    @Override
    void onRevoked(ErrorKind kind, String message) {
        pendingRefusal = () -> refuseRevoked(kind, message);
        if (!inDoubt) {
            pendingRefusal.run();
        }
    }

    @Override
    void onCallerLost() {
        super.onCallerLost();
        if (!inDoubt) {
            refuse(ErrorKind.CONNECTION_LOST, "the caller is gone", 0);
        }
    }
}
