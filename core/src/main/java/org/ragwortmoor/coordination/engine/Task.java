package org.ragwortmoor.coordination.engine;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.ReadRecord;

/** A caller's request on its way through the engine; it is answered exactly once. */
abstract class Task {
    /** Time after which a caller may ask again whether the rules allow its request. */
    private static final long RULES_RETRY_MILLIS = 500;

    private final EngineContext ctx;
    private final CallerRequest request;
    private final String label;
    private final Timers.Timer deadlineTimer;
    private Lane lane;
    private WorkClass workClass = WorkClass.SHORT;
    private WorkQueue queue;
    private Timers.Timer refusalTimer;
    private long queuedAt;
    private boolean answered;
    private boolean callerLost;

    Task(EngineContext ctx, CallerRequest request, Lane lane, String label) {
        this.ctx = ctx;
        this.request = request;
        this.lane = lane;
        this.label = label;
        this.deadlineTimer =
                ctx.timers().at(request.deadline() - ctx.settings().graceNanos(), this::deadline);
    }

    private void deadline() {
        if (!answered) {
            expired();
        }
    }

    /** Checks the request and queues or answers it. */
    abstract void arrived();

    /** Starts the request on a lent connection. */
    abstract void run(Member member, PooledConnection connection);

    /** Answers at the deadline. */
    abstract void expired();

    /** Returns the answer that is true as long as nothing of the request was sent. */
    void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        answer(new CallerAnswer.NotRun(id(), kind, message, retryAfterMillis));
    }

    /**
     * Returns the expected time from the endpoint's answer to the confirmation, if it is needed.
     */
    long confirmationNanos() {
        return 0;
    }

    /** Reacts to a new term or primary. */
    void groupChanged() {
        // Most requests learn of it by the refusal of the old primary.
    }

    /** Returns the connection that the request is bound to, or null. */
    PooledConnection boundConnection() {
        return null;
    }

    /** Reacts to rules that do not allow the request any more. */
    void revoked(ErrorKind kind, String message) {
        // Requests without operations, such as a question for an outcome, are not revoked.
    }

    void callerLost() {
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

    Lane lane() {
        return lane;
    }

    void lane(Lane next) {
        lane = next;
    }

    WorkClass workClass() {
        return workClass;
    }

    void workClass(WorkClass next) {
        workClass = next;
    }

    /** Returns the queue in which the request waits, or null. */
    WorkQueue queue() {
        return queue;
    }

    void queue(WorkQueue next) {
        queue = next;
    }

    /** Sets the timer that refuses the request while it waits; null cancels it. */
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

    void done(
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

    /** Refuses a request of which nothing was sent, or whose result may not be shown. */
    void refuseRevoked(ErrorKind kind, String message) {
        refuse(kind, message, kind == ErrorKind.RULES_EXPIRED ? RULES_RETRY_MILLIS : 0);
    }

    void unknown(ErrorKind kind, String message) {
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
        ctx.act(new EngineAction.Reply(answer));
    }
}
