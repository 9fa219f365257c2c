package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/**
 * A statement in flight. It counts against the limits of its endpoint; its answer updates the
 * estimates and releases or resets the connection.
 */
final class InFlightStatement implements Exchange.Handler {
    private final EngineContext ctx;
    private final Task task;
    private final Member member;
    private final PooledConnection connection;
    private final boolean keepConnection;
    private final Exchange.Handler handler;
    private final long sentAt;
    private final WorkClass sentClass;
    private WorkClass workClass;
    private boolean finished;

    private InFlightStatement(
            Task task,
            Member member,
            PooledConnection connection,
            boolean keepConnection,
            Exchange.Handler handler) {
        this.ctx = task.ctx();
        this.task = task;
        this.member = member;
        this.connection = connection;
        this.keepConnection = keepConnection;
        this.handler = handler;
        this.sentAt = ctx.now();
        this.sentClass = task.workClass();
        this.workClass = sentClass;
    }

    /**
     * Sends a statement on an acquired connection.
     *
     * @param keepConnection whether the connection stays acquired after an answer
     * @return the sequence number of the call
     */
    static long send(
            Task task,
            Member member,
            PooledConnection connection,
            boolean keepConnection,
            EndpointCall call,
            Exchange.Handler handler) {
        EngineContext ctx = task.ctx();
        InFlightStatement statement =
                new InFlightStatement(task, member, connection, keepConnection, handler);
        member.statementStarted(statement.workClass);
        ctx.after(statement.reclassifyAfterNanos(), statement::reclassify);
        return ctx.pool().send(connection, call, statement);
    }

    /**
     * Returns the time after sending at which a running statement is reclassified as long. The time
     * in the endpoint's queue is excluded: including it reclassified queued statements, which
     * admitted further short statements while the queue was growing.
     */
    private long reclassifyAfterNanos() {
        double expectedStartNanos = member.roundTripNanos() + member.expectedQueueingNanos();
        return ctx.settings().longAfterNanos() + (long) expectedStartNanos;
    }

    /** Counts a statement that proves to be long against the long permits. */
    private void reclassify() {
        if (!finished && workClass == WorkClass.SHORT && ctx.settings().classes()) {
            member.statementEnded(WorkClass.SHORT);
            workClass = WorkClass.LONG;
            member.statementStarted(WorkClass.LONG);
            ctx.count(Counter.RECLASSIFIED);
        }
    }

    private void finish() {
        finished = true;
        member.statementEnded(workClass);
    }

    @Override
    public void onAnswer(EndpointAnswer answer) {
        finish();
        if (answer instanceof EndpointAnswer.Result result) {
            long responseNanos = ctx.now() - sentAt;
            long queuedNanos = result.queuedMicros() * 1000;
            ctx.admission()
                    .recordCompletion(
                            member,
                            sentClass,
                            task.label(),
                            queuedNanos,
                            responseNanos,
                            result.queued());
        }
        boolean needsReset = false;
        if (answer instanceof EndpointAnswer.Refused refused) {
            if (refused.kind() == RefusalKind.BUSY) {
                member.limiter().recordBusy(ctx.now());
            } else if (refused.kind() == RefusalKind.LEAVING) {
                member.markLeaving();
            }
            needsReset =
                    refused.kind() == RefusalKind.BAD_REQUEST
                            || refused.kind() == RefusalKind.UNKNOWN_TRANSACTION;
        }
        if (task.answered() || needsReset) {
            ctx.pool().resetAndRelease(connection);
        } else if (!keepConnection) {
            ctx.pool().release(connection);
        }
        handler.onAnswer(answer);
    }

    @Override
    public void onConnectionLost(String reason) {
        finish();
        handler.onConnectionLost(reason);
    }
}
