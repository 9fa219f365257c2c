package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** A caller's query of the outcome of a write. */
final class ResolveTask extends Task {
    private final OutcomeQuery query;

    ResolveTask(EngineContext ctx, CallerRequest.Resolve resolve) {
        super(ctx, resolve, Destination.PRIMARY, "resolve");
        this.query =
                new OutcomeQuery(
                        this,
                        // Another proxy may still retry the write without knowing of this
                        // query, so the cancellation must cover all later attempts.
                        WriteIdentity.everyAttempt(resolve.identity().key()),
                        new OutcomeQuery.Listener() {
                            @Override
                            public void onExecuted(Position position) {
                                complete(List.of(), position, ctx.primary(), true, "");
                            }

                            @Override
                            public void onCancelled() {
                                ResolveTask.super.refuse(
                                        ErrorKind.CANCELLED,
                                        "the write was not executed and its key is cancelled; send"
                                                + " it again under a new key",
                                        1);
                            }
                        });
    }

    @Override
    void start() {
        if (ctx().majorityUnreachable()) {
            answerUnknown(
                    ErrorKind.NO_PRIMARY, "no majority answers this proxy; use another proxy");
        } else {
            query.start();
        }
    }

    @Override
    void run(Member member, PooledConnection connection) {
        throw new IllegalStateException("outcome queries are not queued");
    }

    /** A refused query does not determine the outcome of the write. */
    @Override
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        answerUnknown(kind, message);
    }

    @Override
    void onNewTerm() {
        query.onNewTerm();
    }

    @Override
    void answerAtDeadline() {
        answerUnknown(
                ErrorKind.DEADLINE_EXCEEDED, "the outcome was not confirmed in time; ask again");
    }
}
