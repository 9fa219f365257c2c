package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;

/** Rolls a transaction back; it can never be committed from then on. */
final class RollbackTask extends Task {
    private final CallerRequest.Rollback rollback;

    RollbackTask(EngineContext ctx, CallerRequest.Rollback rollback) {
        super(ctx, rollback, Lane.TRANSACTION, "rollback");
        this.rollback = rollback;
    }

    @Override
    void arrived() {
        Transaction transaction = ctx().transactions().enter(this, rollback.transaction());
        if (transaction == null) {
            return;
        }
        transaction.current(null);
        Member member = transaction.connection().member();
        ctx().transactions().abort(transaction, ErrorKind.CONFLICT, "the caller asked for it");
        done(List.of(), Position.ZERO, member, false, "");
    }

    @Override
    void run(Member member, PooledConnection connection) {
        throw new IllegalStateException("a rollback is never queued");
    }

    @Override
    void expired() {
        refuse(ErrorKind.DEADLINE_EXCEEDED, "the rollback was not handled in time", 0);
    }
}
