package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.PositionField;

/**
 * A caller's transaction, pinned to one server connection from its first statement to its end.
 *
 * <p>Until the first statement has been executed, the transaction can move to another server. From
 * then on the loss of the connection aborts it. Its outcome is unknown only if the answer to its
 * commit is lost.
 */
final class PinnedTransaction implements CallerTransaction {
    private final StatementContext session;
    private final SessionHost host;
    private final ServerGroup group;
    private final Route route;
    private final boolean readOnly;
    private final long beganAt;
    private final Set<String> excluded = new HashSet<>();
    private boolean onLeader;
    private boolean statementExecuted;
    private boolean wrote;
    private boolean valuesChanged;
    private boolean ended;
    private boolean failed;
    private int attempts;
    private String lastServer = "";
    private String lastReason = "no server was free";
    private Option<Position> required = Option.none();
    private ServerConnection connection;
    private ConnectionRequest pendingRequest;
    private RoutedStatement currentStatement;
    private long leaseAtSend;
    private boolean provedOpen;

    PinnedTransaction(
            StatementContext session,
            ServerGroup group,
            Route route,
            boolean readOnly,
            long beganAt) {
        this.session = session;
        this.host = session.host();
        this.group = group;
        this.route = route;
        this.readOnly = readOnly;
        this.beganAt = beganAt;
        this.onLeader = !readOnly || route.kind() == RouteKind.PRIMARY;
    }

    @Override
    public Route route() {
        return route;
    }

    @Override
    public boolean failed() {
        return failed;
    }

    @Override
    public boolean awaitsLeader() {
        return onLeader && connection == null && !statementExecuted;
    }

    @Override
    public void markValuesChanged() {
        valuesChanged = true;
    }

    @Override
    public void execute(RoutedStatement statement) {
        currentStatement = statement;
        attempts = 0;
        if (readOnly && statement.kind() == RoutedStatement.Kind.WRITE) {
            abort(ErrorCode.READONLY.name(), "the transaction was begun as read only");
            return;
        }
        if (connection == null) {
            acquire();
        } else {
            prepareAndSend();
        }
    }

    @Override
    public void rollback() {
        detach();
    }

    @Override
    public void abandon() {
        failed = true;
        detach();
    }

    private void detach() {
        ended = true;
        if (pendingRequest != null) {
            group.cancelRequest(pendingRequest);
            pendingRequest = null;
        }
        ServerConnection held = connection;
        connection = null;
        if (held == null) {
            return;
        }
        if (held.oldestPendingSince().isDefined()) {
            // A statement is still running; only closing the connection reliably rolls it back.
            held.close("the transaction was abandoned");
            return;
        }
        if (valuesChanged) {
            held.invalidateValues();
        }
        ConnectionCleanup.rollbackAndRelease(held, host);
    }

    private void acquire() {
        if (ended) {
            return;
        }
        if (++attempts > SessionSettings.MAX_ATTEMPTS
                || host.now() - currentStatement.sendDeadline() >= 0) {
            abort(ErrorCode.OVERLOAD.name(), lastReason);
            return;
        }
        if (!onLeader) {
            required = session.consistency().requiredPosition(group, route, beganAt);
            onLeader = required.isEmpty();
        }
        ConnectionRequest.Target target =
                onLeader ? ConnectionRequest.Target.LEADER : ConnectionRequest.Target.ANY;
        pendingRequest =
                new ConnectionRequest(
                        target,
                        session.workspace(),
                        route.priority(),
                        session.state().values(),
                        excluded,
                        group.connectionDeadline(target, route, currentStatement.sendDeadline()),
                        new ConnectionListener());
        group.requestConnection(pendingRequest);
    }

    private final class ConnectionListener implements ConnectionRequest.Listener {
        @Override
        public void granted(ServerConnection granted) {
            pendingRequest = null;
            begin(granted);
        }

        @Override
        public void expired() {
            pendingRequest = null;
            abort(ErrorCode.OVERLOAD.name(), lastReason);
        }

        @Override
        public void exhausted() {
            pendingRequest = null;
            onLeader = true;
            acquire();
        }
    }

    private void begin(ServerConnection granted) {
        lastServer = granted.server().record().id();
        List<String> setup =
                session.state()
                        .setupStatements(
                                granted, session.statementNames(), currentStatement.shape());
        setup.add(
                onLeader
                        ? "BEGIN"
                        : "AFTER " + PositionField.format(required.get()) + " BEGIN READ");
        // If the answer to BEGIN is a repetition and BEGIN is refused, these get the refusal.
        setup.addAll(granted.statementsBehindBegin());
        connection = granted;
        provedOpen = false;
        StatementPipeline.run(
                granted,
                setup,
                currentStatement.deadline(),
                result -> {
                    if (!ended) {
                        handleBeginResult(granted, result);
                    }
                });
    }

    private void handleBeginResult(ServerConnection granted, ExchangeResult result) {
        if (result instanceof ExchangeResult.Completed) {
            send();
            return;
        }
        connection = null;
        long pause = 0;
        if (result instanceof ExchangeResult.Failed failure) {
            lastReason = failure.code() + " at BEGIN from " + lastServer;
            switch (ErrorCode.fromName(failure.code())) {
                case READONLY -> {
                    group.leader().recordDenial(granted.server());
                    pause = SessionSettings.DENIED_RETRY_NANOS;
                    ConnectionCleanup.rollbackIfNeededAndRelease(granted, failure.state(), host);
                }
                case LAGGING -> {
                    excluded.add(lastServer);
                    ConnectionCleanup.rollbackIfNeededAndRelease(granted, failure.state(), host);
                }
                default -> granted.close("session state refused: " + failure.code());
            }
        } else {
            lastReason = ((ExchangeResult.Lost) result).reason();
        }
        host.schedule(host.now() + pause, this::acquire);
    }

    private void prepareAndSend() {
        List<String> setup =
                session.state()
                        .setupStatements(
                                connection, session.statementNames(), currentStatement.shape());
        if (setup.isEmpty()) {
            send();
            return;
        }
        ServerConnection used = connection;
        StatementPipeline.run(
                used,
                setup,
                currentStatement.deadline(),
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
        if (ended) {
            return;
        }
        boolean commitsWrites = currentStatement.kind() == RoutedStatement.Kind.COMMIT && wrote;
        if (commitsWrites && !group.lease().permitsWork(connection.server())) {
            abort(ErrorCode.ABORTED.name(), "no lease on the primary");
            return;
        }
        leaseAtSend = group.lease().grantNumber();
        long sentAt = host.now();
        long clockOffset = group.clockOffsetMillis();
        connection.execute(
                currentStatement.id(),
                currentStatement.serverText(session.statementNames()),
                currentStatement.isRead(),
                currentStatement.deadline(),
                result -> handleResult(result, sentAt, clockOffset));
    }

    private void handleResult(ExchangeResult result, long sentAt, long clockOffset) {
        if (ended) {
            return;
        }
        if (result instanceof ExchangeResult.Completed completed) {
            connection.server().recordLatency(host.now() - sentAt);
            if (onLeader && completed.state().equals(ExchangeResult.IN_TRANSACTION)) {
                group.recordProof(connection.server(), completed.position(), sentAt, clockOffset);
            }
            handleCompleted(completed);
        } else if (result instanceof ExchangeResult.Failed failure) {
            handleFailed(failure);
        } else {
            handleLost((ExchangeResult.Lost) result);
        }
    }

    private void handleCompleted(ExchangeResult.Completed completed) {
        if (currentStatement.kind() == RoutedStatement.Kind.COMMIT) {
            ServerConnection held = connection;
            connection = null;
            ended = true;
            if (wrote && !group.mayPassOnAnswer(held.server(), leaseAtSend)) {
                ConnectionCleanup.rollbackIfNeededAndRelease(held, completed.state(), host);
                abort(ErrorCode.INDOUBT.name(), "the lease on the primary has ended");
                return;
            }
            if (wrote) {
                completed.position().forEach(session.consistency()::recordCommit);
            }
            log("ok", "");
            session.transactionEnded();
            session.answer(completed, ExchangeResult.IDLE);
            ConnectionCleanup.rollbackIfNeededAndRelease(held, completed.state(), host);
            return;
        }
        statementExecuted = true;
        if (!completed.state().equals(ExchangeResult.IN_TRANSACTION)) {
            endOutsideTransaction();
            return;
        }
        provedOpen = true;
        wrote |= currentStatement.kind() == RoutedStatement.Kind.WRITE;
        log("ok", "");
        session.answer(completed, ExchangeResult.IN_TRANSACTION);
    }

    /** Ends a transaction that is not open on the server. */
    private void endOutsideTransaction() {
        // A write may have been committed by itself.
        boolean isWrite = currentStatement.kind() == RoutedStatement.Kind.WRITE;
        ErrorCode code = isWrite ? ErrorCode.INDOUBT : ErrorCode.ABORTED;
        connection.close("no transaction is open on the server");
        abort(code.name(), "no transaction is open on the server");
    }

    private void handleFailed(ExchangeResult.Failed failure) {
        boolean outside = failure.state().equals(ExchangeResult.IDLE);
        if (outside && !provedOpen && currentStatement.kind() != RoutedStatement.Kind.COMMIT) {
            endOutsideTransaction();
            return;
        }
        lastReason = failure.code() + " from " + lastServer;
        ErrorCode code = ErrorCode.fromName(failure.code());
        boolean inTransaction = failure.state().equals(ExchangeResult.IN_TRANSACTION);
        boolean inTime = host.now() - currentStatement.sendDeadline() < 0;
        if (code == ErrorCode.READONLY) {
            group.leader().recordDenial(connection.server());
        }
        if (code == ErrorCode.BUSY
                && inTransaction
                && inTime
                && ++attempts < SessionSettings.MAX_ATTEMPTS) {
            host.schedule(host.now() + SessionSettings.BUSY_RETRY_NANOS, this::send);
            return;
        }
        if (code.notExecuted() && !statementExecuted && inTime) {
            // Nothing has been executed in this transaction, so it can restart on another server.
            ServerConnection held = connection;
            connection = null;
            if (code == ErrorCode.UNKNOWN) {
                held.close("a prepared name was lost");
            } else {
                ConnectionCleanup.rollbackIfNeededAndRelease(held, failure.state(), host);
            }
            host.schedule(host.now() + SessionSettings.BUSY_RETRY_NANOS, this::acquire);
            return;
        }
        abort(
                code == ErrorCode.UNKNOWN ? ErrorCode.ABORTED.name() : failure.code(),
                failure.text());
    }

    private void handleLost(ExchangeResult.Lost lost) {
        lastReason = lost.reason();
        connection = null;
        boolean committing = currentStatement.kind() == RoutedStatement.Kind.COMMIT;
        abort(
                committing && wrote ? ErrorCode.INDOUBT.name() : ErrorCode.ABORTED.name(),
                lastReason);
    }

    /** Aborts the transaction on the server and answers the statement with an error. */
    private void abort(String code, String reason) {
        boolean commit = currentStatement.kind() == RoutedStatement.Kind.COMMIT;
        failed = true;
        detach();
        log(code, reason);
        if (commit) {
            session.transactionEnded();
        }
        session.answerError(code, reason, group.retryAfterMillis(currentStatement.id()));
    }

    private void log(String outcome, String reason) {
        session.logStatement(
                currentStatement.id(),
                lastServer,
                outcome,
                reason,
                required,
                attempts,
                host.now() - currentStatement.arrivedAt());
    }
}
