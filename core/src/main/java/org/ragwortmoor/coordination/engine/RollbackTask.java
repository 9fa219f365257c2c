package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;

/** Rolls back a transaction, which can no longer be committed. */
final class RollbackTask extends Task {
    private final CallerRequest.Rollback rollback;

    RollbackTask(EngineContext ctx, CallerRequest.Rollback rollback) {
        super(ctx, rollback, Destination.TRANSACTION, "rollback");
        this.rollback = rollback;
    }

    @Override
    void start() {
        Transaction transaction = ctx().transactions().enter(this, rollback.transaction());
        if (transaction == null) {
            return;
        }
        transaction.currentRequest(null);
        Member member = transaction.connection().member();
        ctx().transactions().abort(transaction, ErrorKind.CONFLICT, "the caller asked for it");
        complete(List.of(), Position.ZERO, member, false, "");
    }

    @Override
    void run(Member member, PooledConnection connection) {
        throw new IllegalStateException("rollbacks are not queued");
    }

    @Override
    void answerAtDeadline() {
        refuse(ErrorKind.DEADLINE_EXCEEDED, "the rollback was not handled in time", 0);
    }
}
