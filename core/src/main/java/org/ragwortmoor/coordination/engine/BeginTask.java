package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** Begins a transaction; nothing is executed by it, so it may be sent again. */
final class BeginTask extends Task {
    private final CallerRequest.Begin begin;

    BeginTask(EngineContext ctx, CallerRequest.Begin begin) {
        super(ctx, begin, Lane.PRIMARY, "begin");
        this.begin = begin;
    }

    @Override
    void arrived() {
        if (begin.transactionDeadline() <= ctx().now()) {
            refuse(ErrorKind.BAD_REQUEST, "the transaction's deadline has passed", 0);
            return;
        }
        ctx().admission().offer(this);
    }

    @Override
    void run(Member member, PooledConnection connection) {
        Statement.send(
                this,
                member,
                connection,
                true,
                new EndpointCall.Begin(ctx().view().term()),
                new Exchange.Handler() {
                    @Override
                    public void answered(EndpointAnswer answer) {
                        if (BeginTask.this.answered()) {
                            return;
                        }
                        if (answer instanceof EndpointAnswer.Began began) {
                            begun(member, connection, began);
                        } else if (answer instanceof EndpointAnswer.Refused refused) {
                            ctx().pool().giveBack(connection);
                            refused(refused);
                        }
                    }

                    @Override
                    public void lost(String reason) {
                        if (!BeginTask.this.answered()) {
                            retry(ErrorKind.CONNECTION_LOST, "the connection was lost: " + reason);
                        }
                    }
                });
    }

    private void begun(Member member, PooledConnection connection, EndpointAnswer.Began began) {
        String id = ctx().transactions().begun(begin, connection, began.transaction());
        done(List.of(), Position.ZERO, member, false, id);
    }

    private void refused(EndpointAnswer.Refused refused) {
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
        if (ctx().tryRetry()) {
            ctx().admission().requeueAfter(this, ctx().settings().retryDelayNanos());
        } else {
            refuse(kind, message, 50);
        }
    }

    @Override
    void expired() {
        refuse(ErrorKind.DEADLINE_EXCEEDED, "the transaction was not begun in time", 50);
    }

    @Override
    void callerLost() {
        super.callerLost();
        refuse(ErrorKind.CONNECTION_LOST, "the caller is gone", 0);
    }
}
