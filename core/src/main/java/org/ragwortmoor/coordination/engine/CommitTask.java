package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Commits a transaction. As for a write, the outcome is confirmed by a majority, or resolved if the
 * answer is lost; unlike a write, a transaction cannot be executed again.
 */
final class CommitTask extends Task {
    private final CallerRequest.Commit commit;
    private Transaction transaction;
    private boolean inDoubt;
    private int generation;
    private boolean awaitingAnswer;
    private OutcomeQuery query;

    CommitTask(EngineContext ctx, CallerRequest.Commit commit) {
        super(ctx, commit, Destination.TRANSACTION, "commit");
        this.commit = commit;
    }

    @Override
    void start() {
        Transaction open = ctx().transactions().find(commit.transaction());
        if (open == null) {
            // This may be a retry after a lost answer: the outcome can only be found by the key.
            resolve(
                    ErrorKind.UNKNOWN_TRANSACTION,
                    "the transaction is not open on this proxy and was not committed");
            return;
        }
        transaction = ctx().transactions().enter(this, commit.transaction());
        if (transaction != null) {
            ctx().admission().submit(this);
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
        awaitingAnswer = true;
        int sentGeneration = ++generation;
        EndpointCall call =
                new EndpointCall.Commit(transaction.endpointTransaction(), commit.identity());
        InFlightStatement.send(
                this,
                member,
                connection,
                true,
                call,
                new Exchange.Handler() {
                    @Override
                    public void onAnswer(EndpointAnswer answer) {
                        ctx().pool().resetAndRelease(connection);
                        if (sentGeneration != generation || answered()) {
                            return;
                        }
                        awaitingAnswer = false;
                        if (answer instanceof EndpointAnswer.Result result) {
                            confirm(result, member);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            inDoubt = false;
                            refuse(
                                    InTransactionTask.toErrorKind(refused.kind()),
                                    "the commit was refused: " + refused.message(),
                                    1);
                        }
                    }

                    @Override
                    public void onConnectionLost(String reason) {
                        if (sentGeneration == generation && !answered()) {
                            resolveUnanswered();
                        }
                    }
                });
    }

    private void confirm(EndpointAnswer.Result result, Member member) {
        ctx().confirmations()
                .awaitMajority(
                        result.position(),
                        ReadTask.waitListener(
                                () -> {
                                    if (!answered()) {
                                        ctx().count(Counter.WRITES_CONFIRMED);
                                        complete(
                                                result.records(),
                                                result.position(),
                                                member,
                                                result.duplicate(),
                                                "");
                                    }
                                },
                                () -> {
                                    if (!answered()) {
                                        resolveUnanswered();
                                    }
                                }));
    }

    private void resolveUnanswered() {
        resolve(ErrorKind.CONNECTION_LOST, "the connection was lost before the commit");
    }

    private void resolve(ErrorKind kind, String message) {
        generation++;
        awaitingAnswer = false;
        inDoubt = true;
        query =
                new OutcomeQuery(
                        this,
                        commit.identity(),
                        new OutcomeQuery.Listener() {
                            @Override
                            public void onExecuted(Position position) {
                                ctx().count(Counter.WRITES_CONFIRMED);
                                complete(List.of(), position, ctx().primary(), true, "");
                            }

                            @Override
                            public void onCancelled() {
                                inDoubt = false;
                                refuse(kind, message, 1);
                            }
                        });
        query.start();
    }

    @Override
    void onNewTerm() {
        if (query != null) {
            query.onNewTerm();
        } else if (awaitingAnswer && transaction.term() < ctx().view().term()) {
            resolveUnanswered();
        }
    }

    @Override
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        super.refuse(kind, message, retryAfterMillis);
        if (transaction != null) {
            ctx().transactions().abort(transaction, kind, message);
        }
    }

    /** Once sent, a commit is never sent again and its own answer or outcome query decides. */
    @Override
    void onRevoked(ErrorKind kind, String message) {
        if (!inDoubt) {
            refuseRevoked(kind, message);
        }
    }

    @Override
    void answerAtDeadline() {
        if (inDoubt) {
            answerUnknown(
                    ErrorKind.DEADLINE_EXCEEDED,
                    "the commit was not confirmed in time; ask for its outcome by its key");
        } else {
            refuse(ErrorKind.DEADLINE_EXCEEDED, "the commit was not sent in time", 0);
        }
    }
}
