package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** Begins a transaction. The call has no effect on data and may be retried. */
final class BeginTask extends Task {
    private final CallerRequest.Begin begin;

    BeginTask(EngineContext ctx, CallerRequest.Begin begin) {
        super(ctx, begin, Destination.PRIMARY, "begin");
        this.begin = begin;
    }

    @Override
    void start() {
        if (begin.transactionDeadline() <= ctx().now()) {
            refuse(ErrorKind.BAD_REQUEST, "the transaction's deadline has passed", 0);
            return;
        }
        ctx().admission().submit(this);
    }

    @Override
    void run(Member member, PooledConnection connection) {
        InFlightStatement.send(
                this,
                member,
                connection,
                true,
                new EndpointCall.Begin(ctx().view().term()),
                new Exchange.Handler() {
                    @Override
                    public void onAnswer(EndpointAnswer answer) {
                        if (answered()) {
                            return;
                        }
                        if (answer instanceof EndpointAnswer.Began began) {
                            completeBegin(member, connection, began);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            ctx().pool().release(connection);
                            handleRefusal(refused);
                        }
                    }

                    @Override
                    public void onConnectionLost(String reason) {
                        if (!answered()) {
                            retry(ErrorKind.CONNECTION_LOST, "the connection was lost: " + reason);
                        }
                    }
                });
    }

    private void completeBegin(
            Member member, PooledConnection connection, EndpointAnswer.Began began) {
        String id = ctx().transactions().register(begin, connection, began.transaction());
        complete(List.of(), Position.ZERO, member, false, id);
    }

    private void handleRefusal(EndpointAnswer.Refused refused) {
        if (refused.kind() == RefusalKind.BAD_REQUEST) {
            refuse(ErrorKind.BAD_REQUEST, refused.message(), 0);
        } else if (refused.kind() == RefusalKind.BUSY) {
            retry(ErrorKind.OVERLOADED, "the primary has too much work");
        } else {
            ctx().admission().placement().pausePrimary();
            ctx().admission().requeue(this);
        }
    }

    private void retry(ErrorKind kind, String message) {
        if (ctx().tryConsumeRetry()) {
            ctx().admission().requeueAfter(this, ctx().settings().retryDelayNanos());
        } else {
            refuse(kind, message, 50);
        }
    }

    @Override
    void answerAtDeadline() {
        refuse(ErrorKind.DEADLINE_EXCEEDED, "the transaction was not begun in time", 50);
    }

    @Override
    void onCallerLost() {
        super.onCallerLost();
        refuse(ErrorKind.CONNECTION_LOST, "the caller is gone", 0);
    }
}
