package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/**
 * A statement in flight: counts against the limits of its endpoint, teaches the estimates and
 * returns its connection.
 */
final class Statement implements Exchange.Handler {
    private final EngineContext ctx;
    private final Task task;
    private final Member member;
    private final PooledConnection connection;
    private final boolean keepConnection;
    private final Exchange.Handler next;
    private final long sentAt;
    private final WorkClass sentAs;
    private WorkClass workClass;
    private boolean ended;

    private Statement(
            Task task,
            Member member,
            PooledConnection connection,
            boolean keepConnection,
            Exchange.Handler next) {
        this.ctx = task.ctx();
        this.task = task;
        this.member = member;
        this.connection = connection;
        this.keepConnection = keepConnection;
        this.next = next;
        this.sentAt = ctx.now();
        this.sentAs = task.workClass();
        this.workClass = sentAs;
    }

    /**
     * Sends a statement on a lent connection.
     *
     * @param keepConnection whether the connection stays lent after an answer
     * @return the sequence of the sent call
     */
    static long send(
            Task task,
            Member member,
            PooledConnection connection,
            boolean keepConnection,
            EndpointCall call,
            Exchange.Handler next) {
        EngineContext ctx = task.ctx();
        Statement statement = new Statement(task, member, connection, keepConnection, next);
        member.started(statement.workClass);
        ctx.after(statement.runningTooLongAfter(), statement::reclassify);
        return ctx.pool().send(connection, call, statement);
    }

    /**
     * Returns the time after sending from which the statement counts as long. A wait in the
     * endpoint's queue is not part of a statement's length; counted as such, it freed places for
     * further statements while the queue was growing.
     */
    private long runningTooLongAfter() {
        double before = member.roundTripNanos() + member.expectedQueueingNanos();
        return ctx.settings().longAfterNanos() + (long) before;
    }

    /** A statement that turns out long counts against the long permits from then on. */
    private void reclassify() {
        if (!ended && workClass == WorkClass.SHORT && ctx.settings().classes()) {
            member.ended(WorkClass.SHORT);
            workClass = WorkClass.LONG;
            member.started(WorkClass.LONG);
            ctx.count(Counter.RECLASSIFIED);
        }
    }

    private void end() {
        ended = true;
        member.ended(workClass);
    }

    @Override
    public void answered(EndpointAnswer answer) {
        end();
        if (answer instanceof EndpointAnswer.Result result) {
            long occupied = ctx.now() - sentAt;
            long queued = result.queuedMicros() * 1000;
            ctx.admission().served(member, sentAs, task.label(), queued, occupied, result.queued());
        }
        boolean dirty = false;
        if (answer instanceof EndpointAnswer.Refused refused) {
            if (refused.kind() == RefusalKind.BUSY) {
                member.limiter().refusedBusy(ctx.now());
            } else if (refused.kind() == RefusalKind.LEAVING) {
                member.refusedAsLeaving();
            }
            dirty =
                    refused.kind() == RefusalKind.BAD_REQUEST
                            || refused.kind() == RefusalKind.UNKNOWN_TRANSACTION;
        }
        if (task.answered() || dirty) {
            ctx.pool().reset(connection);
        } else if (!keepConnection) {
            ctx.pool().giveBack(connection);
        }
        next.answered(answer);
    }

    @Override
    public void lost(String reason) {
        end();
        next.lost(reason);
    }
}
