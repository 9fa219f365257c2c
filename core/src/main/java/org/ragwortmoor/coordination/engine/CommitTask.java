package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Commits a transaction; the outcome is confirmed and, if its answer is lost, resolved like that of
 * a write, but a transaction cannot be executed again.
 */
final class CommitTask extends Task {
    private final CallerRequest.Commit commit;
    private Transaction transaction;
    private boolean inDoubt;
    private int step;
    private boolean sent;
    private OutcomeQuery query;

    CommitTask(EngineContext ctx, CallerRequest.Commit commit) {
        super(ctx, commit, Lane.TRANSACTION, "commit");
        this.commit = commit;
    }

    @Override
    void arrived() {
        Transaction known = ctx().transactions().find(commit.transaction());
        if (known == null) {
            // The caller may repeat a commit whose answer it lost; only the key tells the outcome.
            resolve(
                    ErrorKind.UNKNOWN_TRANSACTION,
                    "the transaction is not open on this proxy and was not committed");
            return;
        }
        transaction = ctx().transactions().enter(this, commit.transaction());
        if (transaction != null) {
            ctx().admission().offer(this);
        }
    }

    @Override
    PooledConnection boundConnection() {
        return transaction.connection();
    }

    @Override
    void run(Member member, PooledConnection connection) {
        ctx().transactions().close(transaction);
        inDoubt = true;
        sent = true;
        int current = ++step;
        EndpointCall call =
                new EndpointCall.Commit(transaction.endpointTransaction(), commit.identity());
        Statement.send(
                this,
                member,
                connection,
                true,
                call,
                new Exchange.Handler() {
                    @Override
                    public void answered(EndpointAnswer answer) {
                        ctx().pool().reset(connection);
                        if (current != step || CommitTask.this.answered()) {
                            return;
                        }
                        sent = false;
                        if (answer instanceof EndpointAnswer.Result result) {
                            confirm(result, member);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            inDoubt = false;
                            refuse(
                                    InTransactionTask.kind(refused.kind()),
                                    "the commit was refused: " + refused.message(),
                                    1);
                        }
                    }

                    @Override
                    public void lost(String reason) {
                        if (current == step && !CommitTask.this.answered()) {
                            resolveLost();
                        }
                    }
                });
    }

    private void confirm(EndpointAnswer.Result result, Member member) {
        ctx().confirmations()
                .awaitMajority(
                        result.position(),
                        ReadTask.listener(
                                () -> {
                                    if (!answered()) {
                                        ctx().count(Counter.WRITES_CONFIRMED);
                                        done(
                                                result.records(),
                                                result.position(),
                                                member,
                                                result.duplicate(),
                                                "");
                                    }
                                },
                                () -> {
                                    if (!answered()) {
                                        resolveLost();
                                    }
                                }));
    }

    private void resolveLost() {
        resolve(ErrorKind.CONNECTION_LOST, "the connection was lost before the commit");
    }

    private void resolve(ErrorKind kind, String message) {
        step++;
        sent = false;
        inDoubt = true;
        query =
                new OutcomeQuery(
                        this,
                        commit.identity(),
                        new OutcomeQuery.Listener() {
                            @Override
                            public void executed(Position position) {
                                ctx().count(Counter.WRITES_CONFIRMED);
                                done(List.of(), position, ctx().primary(), true, "");
                            }

                            @Override
                            public void cancelled() {
                                inDoubt = false;
                                refuse(kind, message, 1);
                            }
                        });
        query.start();
    }

    @Override
    void groupChanged() {
        if (query != null) {
            query.groupChanged();
        } else if (sent && transaction.term() < ctx().view().term()) {
            resolveLost();
        }
    }

    @Override
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        super.refuse(kind, message, retryAfterMillis);
        if (transaction != null) {
            ctx().transactions().abort(transaction, kind, message);
        }
    }

    /** A commit that was sent ends by its answer; it is never sent a second time. */
    @Override
    void revoked(ErrorKind kind, String message) {
        if (!inDoubt) {
            refuseRevoked(kind, message);
        }
    }

    @Override
    void expired() {
        if (inDoubt) {
            unknown(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the commit was not confirmed in time; ask for its outcome by its key");
        } else {
            refuse(ErrorKind.DEADLINE_EXCEEDED, "the commit was not sent in time", 0);
        }
    }
}
