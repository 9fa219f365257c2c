package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** A statement within a transaction. If it fails, the whole transaction is rolled back. */
final class InTransactionTask extends Task {
    private final CallerRequest.InTransaction statement;
    private Transaction transaction;

    InTransactionTask(EngineContext ctx, CallerRequest.InTransaction statement) {
        super(ctx, statement, Destination.TRANSACTION, "transaction");
        this.statement = statement;
    }

    @Override
    void start() {
        transaction = ctx().transactions().enter(this, statement.transaction());
        if (transaction == null) {
            return;
        }
        if (statement.operations().isEmpty()) {
            transaction.currentRequest(null);
            refuse(ErrorKind.BAD_REQUEST, "a statement needs operations", 0);
            return;
        }
        ctx().admission().submit(this);
    }

    @Override
    PooledConnection boundConnection() {
        return transaction.connection();
    }

    @Override
    void run(Member member, PooledConnection connection) {
        transaction.statementRunning(true);
        EndpointCall call =
                new EndpointCall.InTransaction(
                        transaction.endpointTransaction(),
                        statement.operations(),
                        statement.serviceMicros());
        InFlightStatement.send(
                this,
                member,
                connection,
                true,
                call,
                new Exchange.Handler() {
                    @Override
                    public void onAnswer(EndpointAnswer answer) {
                        transaction.statementRunning(false);
                        if (answered()) {
                            return;
                        }
                        if (answer instanceof EndpointAnswer.Result result) {
                            completeWhenConfirmed(result, member);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            abort(toErrorKind(refused.kind()), refused.message());
                        }
                    }

                    @Override
                    public void onConnectionLost(String reason) {
                        transaction.statementRunning(false);
                        abort(ErrorKind.CONNECTION_LOST, reason);
                    }
                });
    }

    /**
     * Returns the read records to the caller only once a majority holds the position that they
     * show.
     */
    private void completeWhenConfirmed(EndpointAnswer.Result result, Member member) {
        Position observed = result.records().isEmpty() ? Position.ZERO : result.position();
        ctx().confirmations()
                .awaitMajority(
                        observed,
                        ReadTask.waitListener(
                                () -> {
                                    if (!answered()) {
                                        transaction.currentRequest(null);
                                        complete(result.records(), observed, member, false, "");
                                    }
                                },
                                () -> abort(ErrorKind.NO_PRIMARY, "the primary was replaced")));
    }

    static ErrorKind toErrorKind(RefusalKind kind) {
        return switch (kind) {
            case CONFLICT -> ErrorKind.CONFLICT;
            case CANCELLED -> ErrorKind.CANCELLED;
            case UNKNOWN_TRANSACTION -> ErrorKind.UNKNOWN_TRANSACTION;
            case BAD_REQUEST -> ErrorKind.BAD_REQUEST;
            case BUSY, CONNECTION_LIMIT -> ErrorKind.OVERLOADED;
            case NOT_PRIMARY, FENCED, LEAVING -> ErrorKind.NO_PRIMARY;
        };
    }

    private void abort(ErrorKind kind, String reason) {
        ctx().transactions().abort(transaction, kind, reason);
    }

    @Override
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        super.refuse(kind, message, retryAfterMillis);
        // A transaction that lacks one of its statements must not be committed.
        if (transaction != null && transaction.currentRequest() == this) {
            abort(kind, message);
        }
    }

    @Override
    void onRevoked(ErrorKind kind, String message) {
        refuseRevoked(kind, message);
    }

    @Override
    void answerAtDeadline() {
        abort(ErrorKind.DEADLINE_EXCEEDED, "a statement was not answered in time");
    }
}
