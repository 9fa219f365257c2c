package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * A write that runs as one transaction.
 *
 * <p>It is done when a majority holds its position. If its answer is lost, its outcome is resolved
 * before anything else happens, so at most one attempt can be executed at any time.
 */
final class WriteTask extends Task {
    private final CallerRequest.Write write;
    private int attempt;
    private int step;
    private long sentTerm = -1;
    private boolean inDoubt;
    private boolean refusedAsCancelled;
    private OutcomeQuery query;
    private Runnable refusal;

    WriteTask(EngineContext ctx, CallerRequest.Write write) {
        super(ctx, write, Lane.PRIMARY, write.label());
        this.write = write;
        this.attempt = write.identity().attempt();
    }

    @Override
    void arrived() {
        boolean validAttempt = attempt >= 1 && attempt < WriteIdentity.LAST_ATTEMPT;
        if (write.operations().isEmpty() || !validAttempt || write.identity().key().isEmpty()) {
            refuse(
                    ErrorKind.BAD_REQUEST,
                    "a write needs operations, an idempotency key and an attempt from 1 on",
                    0);
            return;
        }
        workClass(ctx().admission().classify(label()));
        ctx().admission().offer(this);
    }

    @Override
    void run(Member member, PooledConnection connection) {
        int current = ++step;
        sentTerm = ctx().view().term();
        inDoubt = true;
        EndpointCall call =
                new EndpointCall.Write(
                        sentTerm, write.operations(), identity(), write.serviceMicros());
        Statement.send(
                this,
                member,
                connection,
                false,
                call,
                new Exchange.Handler() {
                    @Override
                    public void answered(EndpointAnswer answer) {
                        if (current != step || WriteTask.this.answered()) {
                            return;
                        }
                        sentTerm = -1;
                        if (answer instanceof EndpointAnswer.Result result) {
                            confirm(result, member);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            inDoubt = false;
                            refused(refused);
                        }
                    }

                    @Override
                    public void lost(String reason) {
                        if (current == step && !WriteTask.this.answered()) {
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
                        ReadTask.listener(
                                () -> confirmed(result, member, answeredAt),
                                () -> {
                                    if (!answered()) {
                                        resolve();
                                    }
                                }));
    }

    private void confirmed(EndpointAnswer.Result result, Member member, long answeredAt) {
        if (!answered()) {
            ctx().confirmations().confirmedAfter(ctx().now() - answeredAt);
            ctx().count(Counter.WRITES_CONFIRMED);
            done(result.records(), result.position(), member, result.duplicate(), "");
        }
    }

    private void refused(EndpointAnswer.Refused refused) {
        if (refusal != null && refused.kind() != RefusalKind.CANCELLED) {
            refusal.run();
            return;
        }
        switch (refused.kind()) {
            case CONFLICT ->
                    refuse(ErrorKind.CONFLICT, "another transaction changed the records first", 1);
            case BAD_REQUEST -> refuse(ErrorKind.BAD_REQUEST, refused.message(), 0);
            case CANCELLED -> executeAnew(refused.cancelledAttempt());
            case BUSY -> {
                if (ctx().tryRetry()) {
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
     * Another proxy that has the same write cancelled an unanswered attempt of its own; this
     * request may still run. A key that an outcome query cancelled never runs: that caller was told
     * "not run".
     */
    private void executeAnew(int cancelledAttempt) {
        if (cancelledAttempt == WriteIdentity.LAST_ATTEMPT) {
            refuse(
                    ErrorKind.CANCELLED,
                    "a query of its outcome cancelled the write; send it again under a new key",
                    0);
            return;
        }
        if (refusal != null) {
            refusal.run();
            return;
        }
        if (isCallerLost() || (refusedAsCancelled && !ctx().tryRetry())) {
            refuse(ErrorKind.CANCELLED, "the write was cancelled", 0);
            return;
        }
        refusedAsCancelled = true;
        attempt = Math.max(attempt, cancelledAttempt) + 1;
        ctx().admission().requeue(this);
    }

    /** Turns an unknown outcome into "done" or "not run". */
    private void resolve() {
        step++;
        sentTerm = -1;
        query =
                new OutcomeQuery(
                        this,
                        identity(),
                        new OutcomeQuery.Listener() {
                            @Override
                            public void executed(Position position) {
                                ctx().count(Counter.WRITES_CONFIRMED);
                                done(java.util.List.of(), position, ctx().primary(), true, "");
                            }

                            @Override
                            public void cancelled() {
                                cancellationConfirmed();
                            }
                        });
        query.start();
    }

    private void cancellationConfirmed() {
        inDoubt = false;
        query = null;
        if (refusal != null) {
            refusal.run();
        } else if (!isCallerLost() && ctx().tryRetry()) {
            ctx().count(Counter.WRITE_RETRIES);
            attempt++;
            ctx().admission().requeue(this);
        } else {
            refuse(ErrorKind.CONNECTION_LOST, "the connection was lost before execution", 50);
        }
    }

    @Override
    long confirmationNanos() {
        return ctx().confirmations().expectedNanos();
    }

    /** A statement that the old primary has not answered may never be; the new one knows. */
    @Override
    void groupChanged() {
        if (query != null) {
            query.groupChanged();
        } else if (sentTerm >= 0 && sentTerm < ctx().view().term()) {
            resolve();
        }
    }

    @Override
    void expired() {
        if (inDoubt) {
            unknown(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the write was sent and not confirmed in time; ask for its outcome by its key");
        } else {
            refuse(ErrorKind.DEADLINE_EXCEEDED, "the write was not sent in time", 50);
        }
    }

    /** An attempt that was sent ends by its answer or its cancellation; no other follows. */
    @Override
    void revoked(ErrorKind kind, String message) {
        refusal = () -> refuseRevoked(kind, message);
        if (!inDoubt) {
            refusal.run();
        }
    }

    @Override
    void callerLost() {
        super.callerLost();
        if (!inDoubt) {
            refuse(ErrorKind.CONNECTION_LOST, "the caller is gone", 0);
        }
    }
}
