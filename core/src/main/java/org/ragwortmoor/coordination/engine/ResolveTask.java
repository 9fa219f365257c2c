package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** A caller's question for the outcome of a write. */
final class ResolveTask extends Task {
    private final OutcomeQuery query;

    ResolveTask(EngineContext ctx, CallerRequest.Resolve resolve) {
        super(ctx, resolve, Lane.PRIMARY, "resolve");
        this.query =
                new OutcomeQuery(
                        this,
                        // A proxy that holds the write may not know of this question, so the
                        // cancellation must cover the attempts that it would still make.
                        WriteIdentity.everyAttempt(resolve.identity().key()),
                        new OutcomeQuery.Listener() {
                            @Override
                            public void executed(Position position) {
                                done(List.of(), position, ctx.primary(), true, "");
                            }

                            @Override
                            public void cancelled() {
                                ResolveTask.super.refuse(
                                        ErrorKind.CANCELLED,
                                        "the write was not executed and its key is cancelled; send"
                                                + " it again under a new key",
                                        1);
                            }
                        });
    }

    @Override
    void arrived() {
        if (ctx().cutOff()) {
            unknown(ErrorKind.NO_PRIMARY, "no majority answers this proxy; use another proxy");
        } else {
            query.start();
        }
    }

    @Override
    void run(Member member, PooledConnection connection) {
        throw new IllegalStateException("a question for an outcome is never queued");
    }

    /** A refused question proves nothing about the write. */
    @Override
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        unknown(kind, message);
    }

    @Override
    void groupChanged() {
        query.groupChanged();
    }

    @Override
    void expired() {
        unknown(ErrorKind.DEADLINE_EXCEEDED, "the outcome was not confirmed in time; ask again");
    }
}
