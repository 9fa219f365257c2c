package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.ReadRecord;

/** A caller's request while the engine processes it. It is answered exactly once. */
abstract class Task {
    /** Suggested retry delay of a request refused because the rules lease ended. */
    private static final long RULES_RETRY_MILLIS = 500;

    private final EngineContext ctx;
    private final CallerRequest request;
    private final String label;
    private final Timers.Timer deadlineTimer;
    private Destination destination;
    private WorkClass workClass = WorkClass.SHORT;
    private WorkQueue queue;
    private Timers.Timer refusalTimer;
    private long queuedAt;
    private boolean answered;
    private boolean callerLost;

    Task(EngineContext ctx, CallerRequest request, Destination destination, String label) {
        this.ctx = ctx;
        this.request = request;
        this.destination = destination;
        this.label = label;
        this.deadlineTimer =
                ctx.timers()
                        .schedule(
                                request.deadline() - ctx.settings().graceNanos(), this::onDeadline);
    }

    private void onDeadline() {
        if (!answered) {
            answerAtDeadline();
        }
    }

    /** Validates the request and queues or answers it. */
    abstract void start();

    /** Sends the request on an acquired connection. */
    abstract void run(Member member, PooledConnection connection);

    /** Answers the request at its deadline. */
    abstract void answerAtDeadline();

    /** Answers "not run"; valid only if the request has had no effect and can have none. */
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        answer(new CallerAnswer.NotRun(id(), kind, message, retryAfterMillis));
    }

    /**
     * Returns the expected time from the endpoint's answer to its confirmation by a majority, 0 if
     * the request needs none.
     */
    long expectedConfirmationNanos() {
        return 0;
    }

    /** Called when a view of a new term was applied. */
    void onNewTerm() {
        // Most requests are refused by the old primary and then requeued.
    }

    /** Returns the connection of the request's transaction, or null. */
    PooledConnection boundConnection() {
        return null;
    }

    /** Called when the rules no longer allow the request. */
    void onRevoked(ErrorKind kind, String message) {
        // Requests without operations, such as outcome queries, are not revoked.
    }

    void onCallerLost() {
        callerLost = true;
    }

    boolean isCallerLost() {
        return callerLost;
    }

    EngineContext ctx() {
        return ctx;
    }

    CallerRequest request() {
        return request;
    }

    long id() {
        return request.id();
    }

    String label() {
        return label;
    }

    Destination destination() {
        return destination;
    }

    void destination(Destination next) {
        destination = next;
    }

    WorkClass workClass() {
        return workClass;
    }

    void workClass(WorkClass next) {
        workClass = next;
    }

    /** Returns the queue that contains the request, or null. */
    WorkQueue queue() {
        return queue;
    }

    void queue(WorkQueue next) {
        queue = next;
    }

    /** Sets the timer that refuses the request while it is queued; null cancels the timer. */
    void refusalTimer(Timers.Timer next) {
        if (refusalTimer != null) {
            refusalTimer.cancel();
        }
        refusalTimer = next;
    }

    long queuedAt() {
        return queuedAt;
    }

    void queuedAt(long time) {
        queuedAt = time;
    }

    boolean answered() {
        return answered;
    }

    void complete(
            List<ReadRecord> records,
            Position position,
            Member member,
            boolean duplicate,
            String transaction) {
        String endpoint = member == null ? ctx.primaryName() : member.name();
        boolean replica = member != null && !ctx.isPrimary(member);
        answer(
                new CallerAnswer.Done(
                        id(), records, position, endpoint, replica, duplicate, transaction));
    }

    /** Refuses a revoked request that was not sent, or whose result must not be returned. */
    void refuseRevoked(ErrorKind kind, String message) {
        refuse(kind, message, kind == ErrorKind.RULES_EXPIRED ? RULES_RETRY_MILLIS : 0);
    }

    void answerUnknown(ErrorKind kind, String message) {
        answer(new CallerAnswer.Unknown(id(), kind, message));
    }

    private void answer(CallerAnswer answer) {
        if (answered) {
            return;
        }
        answered = true;
        deadlineTimer.cancel();
        ctx.tasks().remove(id());
        ctx.admission().remove(this);
        if (answer instanceof CallerAnswer.Done) {
            ctx.count(Counter.DONE);
        } else {
            ctx.count(answer instanceof CallerAnswer.NotRun ? Counter.NOT_RUN : Counter.UNKNOWN);
        }
        ctx.emit(new EngineAction.Reply(answer));
    }
}
