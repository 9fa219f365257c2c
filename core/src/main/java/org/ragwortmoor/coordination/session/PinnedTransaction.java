package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.Statement;

/**
 * A caller's transaction. It takes a server connection with its first statement and keeps it to its
 * end. Until the first statement has run it can move to another server; from then on a lost
 * connection aborts it, and only a lost answer to its commit leaves its outcome unknown.
 */
final class PinnedTransaction {
    private final CallerSession session;
    private final SessionHost host;
    private final ServerGroup group;
    private final Route route;
    private final boolean readOnly;
    private final long beganAt;
    private final Set<String> excluded = new HashSet<>();
    private boolean onLeader;
    private boolean ran;
    private boolean wrote;
    private boolean valuesChanged;
    private boolean ended;
    private boolean failed;
    private int attempts;
    private String lastServer = "";
    private String lastReason = "";
    private Option<Position> required = Option.none();
    private ServerConnection connection;
    private LeaseRequest request;
    private ServedStatement current;

    PinnedTransaction(
            CallerSession session, ServerGroup group, Route route, boolean readOnly, long beganAt) {
        this.session = session;
        this.host = session.host();
        this.group = group;
        this.route = route;
        this.readOnly = readOnly;
        this.beganAt = beganAt;
        this.onLeader = !readOnly || route.kind() == RouteKind.PRIMARY;
    }

    Route route() {
        return route;
    }

    /** Returns whether the transaction has failed and only waits for the caller to end it. */
    boolean failed() {
        return failed;
    }

    /** Notes that the caller changed a value inside of the transaction. */
    void valueSet() {
        valuesChanged = true;
    }

    /** Runs a read, write or commit; the answer goes to the session. */
    void run(ServedStatement statement) {
        current = statement;
        attempts = 0;
        if (readOnly && statement.kind() == ServedStatement.Kind.WRITE) {
            abort(ErrorCode.READONLY.name(), "the transaction was begun as read only");
            return;
        }
        if (connection == null) {
            acquire();
        } else {
            prepareAndSend();
        }
    }

    /** The caller rolls back: nothing is kept. */
    void rollback() {
        detach();
    }

    /** Ends the transaction because the caller has gone, stopped or was idle for too long. */
    void abandon() {
        failed = true;
        detach();
    }

    private void detach() {
        ended = true;
        if (request != null) {
            group.cancel(request);
            request = null;
        }
        ServerConnection held = connection;
        connection = null;
        if (held == null) {
            return;
        }
        if (held.waitingSince().isDefined()) {
            // The statement still runs; only the end of the connection rolls it back for certain.
            held.close("the transaction was abandoned");
            return;
        }
        if (valuesChanged) {
            held.forgetValues();
        }
        Rollback.thenRelease(held, host);
    }

    private void acquire() {
        if (ended) {
            return;
        }
        if (++attempts > SessionSettings.MAX_ATTEMPTS || host.now() - current.waitDeadline() >= 0) {
            abort(ErrorCode.OVERLOAD.name(), orElse(lastReason, "no server was free"));
            return;
        }
        if (!onLeader) {
            required = session.requiredPosition(group, route, beganAt);
            onLeader = required.isEmpty();
        }
        LeaseRequest.Need need = onLeader ? LeaseRequest.Need.LEADER : LeaseRequest.Need.ANY;
        request =
                new LeaseRequest(
                        need,
                        route.priority(),
                        session.state().values(),
                        excluded,
                        group.patience(need, route, current.waitDeadline()),
                        new Lease());
        group.request(request);
    }

    private final class Lease implements LeaseRequest.Outcome {
        @Override
        public void granted(ServerConnection lease) {
            request = null;
            begin(lease);
        }

        @Override
        public void expired() {
            request = null;
            abort(ErrorCode.OVERLOAD.name(), orElse(lastReason, "no server was free"));
        }

        @Override
        public void exhausted() {
            request = null;
            onLeader = true;
            acquire();
        }
    }

    private void begin(ServerConnection lease) {
        lastServer = lease.server().record().id();
        List<String> steps = session.state().stepsFor(lease, session.names(), current.shape());
        steps.add(
                onLeader
                        ? "BEGIN"
                        : "AFTER " + PositionField.format(required.get()) + " BEGIN READ");
        connection = lease;
        boolean leads = onLeader;
        long askedAt = host.now();
        long offset = group.clockOffset();
        Steps.run(
                lease,
                steps,
                current.deadline(),
                result -> {
                    if (result instanceof ExchangeResult.Completed completed && leads) {
                        group.proved(lease.server(), completed.position(), askedAt, offset);
                    }
                    if (!ended) {
                        begun(lease, result);
                    }
                });
    }

    private void begun(ServerConnection lease, ExchangeResult result) {
        if (result instanceof ExchangeResult.Completed) {
            send();
            return;
        }
        connection = null;
        long pause = 0;
        if (result instanceof ExchangeResult.Failed refused) {
            lastReason = refused.code() + " at BEGIN from " + lastServer;
            switch (ErrorCode.fromName(refused.code())) {
                case READONLY -> {
                    group.leader().denied(lease.server());
                    pause = SessionSettings.DENIED_RETRY;
                    Rollback.releaseAfter(lease, refused.state(), host);
                }
                case LAGGING -> {
                    excluded.add(lastServer);
                    Rollback.releaseAfter(lease, refused.state(), host);
                }
                default -> lease.close("session state refused: " + refused.code());
            }
        } else {
            lastReason = ((ExchangeResult.Lost) result).reason();
        }
        host.schedule(host.now() + pause, this::acquire);
    }

    private void prepareAndSend() {
        List<String> steps = session.state().stepsFor(connection, session.names(), current.shape());
        if (steps.isEmpty()) {
            send();
            return;
        }
        ServerConnection used = connection;
        Steps.run(
                used,
                steps,
                current.deadline(),
                result -> {
                    if (ended) {
                        return;
                    }
                    if (result instanceof ExchangeResult.Completed) {
                        send();
                    } else {
                        used.close("session state refused");
                        abort(ErrorCode.ABORTED.name(), "the connection's state is unknown");
                    }
                });
    }

    private void send() {
        long sentAt = host.now();
        Consumer<ExchangeResult> answered = result -> answered(result, sentAt);
        connection.ask(
                current.id(), current.serverText(session.names()), current.deadline(), answered);
    }

    private void answered(ExchangeResult result, long sentAt) {
        if (ended) {
            return;
        }
        if (result instanceof ExchangeResult.Completed completed && completed.signed()) {
            connection.server().took(host.now() - sentAt);
            completed(completed);
        } else if (result instanceof ExchangeResult.Failed refused) {
            refused(refused);
        } else {
            lost(result);
        }
    }

    private void completed(ExchangeResult.Completed completed) {
        if (current.kind() == ServedStatement.Kind.COMMIT) {
            ServerConnection held = connection;
            connection = null;
            ended = true;
            if (wrote) {
                completed.position().forEach(session::committedAt);
            }
            log("ok", "");
            session.transactionEnded();
            session.answer(completed, ExchangeResult.IDLE);
            Rollback.releaseAfter(held, completed.state(), host);
            return;
        }
        ran = true;
        wrote |= current.kind() == ServedStatement.Kind.WRITE;
        if (!completed.state().equals(ExchangeResult.IN_TRANSACTION)) {
            connection.close("the server left the transaction");
            abort(ErrorCode.ABORTED.name(), "the server left the transaction");
            return;
        }
        log("ok", "");
        session.answer(completed, ExchangeResult.IN_TRANSACTION);
    }

    private void refused(ExchangeResult.Failed refused) {
        lastReason = refused.code() + " from " + lastServer;
        ErrorCode code = ErrorCode.fromName(refused.code());
        boolean open = refused.state().equals(ExchangeResult.IN_TRANSACTION);
        boolean inTime = host.now() - current.waitDeadline() < 0;
        if (code == ErrorCode.READONLY) {
            group.leader().denied(connection.server());
        }
        if (code == ErrorCode.BUSY && open && inTime && ++attempts < SessionSettings.MAX_ATTEMPTS) {
            host.schedule(host.now() + SessionSettings.BUSY_RETRY, this::resend);
            return;
        }
        boolean notRun =
                code == ErrorCode.BUSY
                        || code == ErrorCode.READONLY
                        || code == ErrorCode.LAGGING
                        || code == ErrorCode.UNKNOWN;
        if (notRun && !ran && inTime) {
            // Nothing has run in this transaction yet, so it can start anew elsewhere.
            ServerConnection held = connection;
            connection = null;
            if (code == ErrorCode.UNKNOWN) {
                held.close("a prepared name was lost");
            } else {
                Rollback.releaseAfter(held, refused.state(), host);
            }
            host.schedule(host.now() + SessionSettings.BUSY_RETRY, this::acquire);
            return;
        }
        abort(
                code == ErrorCode.UNKNOWN ? ErrorCode.ABORTED.name() : refused.code(),
                refused.text());
    }

    private void resend() {
        if (!ended) {
            send();
        }
    }

    private void lost(ExchangeResult result) {
        if (result instanceof ExchangeResult.Lost lost) {
            lastReason = lost.reason();
        } else {
            lastReason = "answer without signature";
            connection.close(lastReason);
        }
        connection = null;
        boolean committing = current.kind() == ServedStatement.Kind.COMMIT;
        abort(
                committing && wrote ? ErrorCode.INDOUBT.name() : ErrorCode.ABORTED.name(),
                lastReason);
    }

    /** Ends the transaction at the server and answers the statement with an error. */
    private void abort(String code, String reason) {
        boolean commit = current.kind() == ServedStatement.Kind.COMMIT;
        failed = true;
        detach();
        log(code, reason);
        if (commit) {
            session.transactionEnded();
        }
        session.answerError(code, reason);
    }

    private void log(String outcome, String reason) {
        session.logStatement(
                current.id(),
                lastServer,
                outcome,
                reason,
                required,
                attempts,
                host.now() - current.arrivedAt());
    }

    private static String orElse(String text, String other) {
        return text.isEmpty() ? other : text;
    }

    /** Answers a statement of a transaction that has failed; an end of it rolls back. */
    static Option<String> refusalAfterFailure(Statement statement) {
        if (statement instanceof Statement.Rollback) {
            return Option.none();
        }
        return Option.some(
                statement instanceof Statement.Commit
                        ? ErrorCode.ABORTED.name()
                        : ErrorCode.MALFORMED.name());
    }
}
