package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** A statement within a transaction; if it fails, the whole transaction is rolled back. */
final class InTransactionTask extends Task {
    private final CallerRequest.InTransaction statement;
    private Transaction transaction;

    InTransactionTask(EngineContext ctx, CallerRequest.InTransaction statement) {
        super(ctx, statement, Lane.TRANSACTION, "transaction");
        this.statement = statement;
    }

    @Override
    void arrived() {
        transaction = ctx().transactions().enter(this, statement.transaction());
        if (transaction == null) {
            return;
        }
        if (statement.operations().isEmpty()) {
            transaction.current(null);
            refuse(ErrorKind.BAD_REQUEST, "a statement needs operations", 0);
            return;
        }
        ctx().admission().offer(this);
    }

    @Override
    PooledConnection boundConnection() {
        return transaction.connection();
    }

    @Override
    void run(Member member, PooledConnection connection) {
        transaction.running(true);
        EndpointCall call =
                new EndpointCall.InTransaction(
                        transaction.endpointTransaction(),
                        statement.operations(),
                        statement.serviceMicros());
        Statement.send(
                this,
                member,
                connection,
                true,
                call,
                new Exchange.Handler() {
                    @Override
                    public void answered(EndpointAnswer answer) {
                        transaction.running(false);
                        if (InTransactionTask.this.answered()) {
                            return;
                        }
                        if (answer instanceof EndpointAnswer.Result result) {
                            result(result, member);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            abort(kind(refused.kind()), refused.message());
                        }
                    }

                    @Override
                    public void lost(String reason) {
                        transaction.running(false);
                        abort(ErrorKind.CONNECTION_LOST, reason);
                    }
                });
    }

    /** What a transaction has read is shown to the caller only when a majority holds it. */
    private void result(EndpointAnswer.Result result, Member member) {
        Position seen = result.records().isEmpty() ? Position.ZERO : result.position();
        ctx().confirmations()
                .awaitMajority(
                        seen,
                        ReadTask.listener(
                                () -> {
                                    if (!answered()) {
                                        transaction.current(null);
                                        done(result.records(), seen, member, false, "");
                                    }
                                },
                                () -> abort(ErrorKind.NO_PRIMARY, "the primary was replaced")));
    }

    static ErrorKind kind(RefusalKind kind) {
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
        // Callers may not go on with a transaction of which a statement is missing.
        if (transaction != null && transaction.current() == this) {
            abort(kind, message);
        }
    }

    @Override
    void revoked(ErrorKind kind, String message) {
        refuseRevoked(kind, message);
    }

    @Override
    void expired() {
        abort(ErrorKind.DEADLINE_EXCEEDED, "a statement was not answered in time");
    }
}
