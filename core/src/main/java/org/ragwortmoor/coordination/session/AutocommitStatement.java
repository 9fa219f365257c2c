package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.PositionField;

/**
 * Executes a statement outside of a caller's transaction.
 *
 * <p>A read runs on any server whose log contains the required position. Otherwise it runs on the
 * leader, inside a transaction that the proxy begins, because only the leader accepts one. A read
 * is retried when its answer is lost, a write only when a server has reported that it was not
 * executed.
 */
final class AutocommitStatement implements StatementExecution {
    private final StatementContext session;
    private final SessionHost host;
    private final ServerGroup group;
    private final RoutedStatement statement;
    private final Set<String> excluded = new HashSet<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean onLeader;
    private boolean finished;
    private String lastServer = "";
    private String lastReason = "";
    private Option<Position> required = Option.none();
    private SessionHost.Timer hedgeTimer;

    AutocommitStatement(StatementContext session, ServerGroup group, RoutedStatement statement) {
        this.session = session;
        this.host = session.host();
        this.group = group;
        this.statement = statement;
        this.onLeader = !statement.isRead() || statement.route().kind() == RouteKind.PRIMARY;
    }

    @Override
    public void start() {
        if (statement.isRead()) {
            long target = TimeUnit.MILLISECONDS.toNanos(statement.route().targetMillis());
            hedgeTimer = host.schedule(statement.arrivedAt() + target / 2, this::startHedge);
        }
        startAttempt();
    }

    @Override
    public boolean awaitsLeader() {
        return onLeader && attempts.stream().noneMatch(Attempt::executing);
    }

    @Override
    public void abandon() {
        finished = true;
        cancelHedge();
        attempts.forEach(Attempt::cancelWait);
    }

    private void startAttempt() {
        if (finished) {
            return;
        }
        if (attempts.size() >= SessionSettings.MAX_ATTEMPTS
                || host.now() - statement.sendDeadline() >= 0) {
            failIfNoneInFlight();
            return;
        }
        if (!onLeader) {
            required =
                    session.consistency()
                            .requiredPosition(group, statement.route(), statement.arrivedAt());
            onLeader = required.isEmpty();
        }
        Attempt next = new Attempt();
        attempts.add(next);
        next.start();
    }

    private void retryAfter(long pause) {
        host.schedule(host.now() + pause, this::startAttempt);
    }

    /** Sends a read to a second server when half of its target latency has passed. */
    private void startHedge() {
        boolean inFlight = attempts.size() == 1 && attempts.get(0).inFlight;
        if (!finished && inFlight) {
            excluded.add(lastServer);
            startAttempt();
        }
    }

    private void cancelHedge() {
        if (hedgeTimer != null) {
            hedgeTimer.cancel();
        }
    }

    private void failIfNoneInFlight() {
        boolean inFlight = attempts.stream().anyMatch(a -> a.inFlight);
        if (inFlight) {
            return;
        }
        fail(ErrorCode.OVERLOAD.name(), lastReason.isEmpty() ? "no server was free" : lastReason);
    }

    private void fail(String code, String reason) {
        if (finished) {
            return;
        }
        finished = true;
        cancelHedge();
        attempts.forEach(Attempt::cancelWait);
        log(code, reason);
        session.answerError(code, reason, group.retryAfterMillis(statement.id()));
    }

    private void log(String outcome, String reason) {
        session.logStatement(
                statement.id(),
                lastServer,
                outcome,
                reason,
                required,
                attempts.size(),
                host.now() - statement.arrivedAt());
    }

    private void succeed(ExchangeResult.Completed completed) {
        if (finished) {
            return;
        }
        finished = true;
        cancelHedge();
        attempts.forEach(Attempt::cancelWait);
        completed
                .position()
                .forEach(
                        statement.isRead()
                                ? p -> session.consistency().recordRead(p, onLeader)
                                : session.consistency()::recordCommit);
        log("ok", "");
        session.answer(completed, ExchangeResult.IDLE);
    }

    /** One attempt to execute the statement on one connection. */
    private final class Attempt implements ConnectionRequest.Listener {
        private final boolean leaderRead = onLeader && statement.isRead();
        private final Option<Position> minimumPosition = onLeader ? Option.none() : required;
        private ConnectionRequest request;
        private ServerConnection connection;
        private long requestedAt;
        private long clockOffsetAtRequest;
        private boolean inFlight;
        private long leaseAtSend;

        void start() {
            ConnectionRequest.Target target =
                    onLeader ? ConnectionRequest.Target.LEADER : ConnectionRequest.Target.ANY;
            request =
                    new ConnectionRequest(
                            target,
                            session.workspace(),
                            statement.route().priority(),
                            session.state().values(),
                            excluded,
                            group.connectionDeadline(
                                    target, statement.route(), statement.sendDeadline()),
                            this);
            group.requestConnection(request);
        }

        /** Returns whether statements were sent whose answers are outstanding. */
        boolean executing() {
            return connection != null && connection.oldestPendingSince().isDefined();
        }

        void cancelWait() {
            if (connection == null) {
                group.cancelRequest(request);
            }
        }

        @Override
        public void expired() {
            if (!finished) {
                failIfNoneInFlight();
            }
        }

        @Override
        public void exhausted() {
            // No replica can serve the required position in time; the leader always can.
            onLeader = true;
            startAttempt();
        }

        @Override
        public void granted(ServerConnection granted) {
            if (finished) {
                granted.server().release(granted);
                return;
            }
            connection = granted;
            lastServer = granted.server().record().id();
            List<String> setup =
                    session.state()
                            .setupStatements(granted, session.statementNames(), statement.shape());
            if (leaderRead) {
                setup.add("BEGIN");
            }
            if (!statement.isRead() && granted.hasDeniedLeadership()) {
                // A denial at BEGIN can be confirmed; one of the write itself could not.
                setup.addAll(List.of("BEGIN", "ROLLBACK"));
            }
            if (setup.isEmpty()) {
                send();
            } else {
                StatementPipeline.run(
                        granted, setup, statement.deadline(), this::handleSetupResult);
            }
        }

        private void handleSetupResult(ExchangeResult result) {
            if (!(result instanceof ExchangeResult.Completed completed)) {
                handleSetupFailure(result);
                return;
            }
            if (finished) {
                ConnectionCleanup.rollbackIfNeededAndRelease(connection, completed.state(), host);
                return;
            }
            send();
        }

        /** Retries from the start, which is safe because the caller's statement was not sent. */
        private void handleSetupFailure(ExchangeResult result) {
            long pause = 0;
            if (result instanceof ExchangeResult.Failed failed) {
                lastReason = failed.code() + " before the statement";
                if (failed.code().equals(ErrorCode.READONLY.name())) {
                    group.leader().recordDenial(connection.server());
                    // The session values were set; only the transaction was refused.
                    ConnectionCleanup.rollbackIfNeededAndRelease(connection, failed.state(), host);
                    pause = SessionSettings.DENIED_RETRY_NANOS;
                } else {
                    connection.close("session state refused: " + failed.code());
                }
            } else {
                lastReason = ((ExchangeResult.Lost) result).reason();
            }
            if (!finished) {
                retryAfter(pause);
            }
        }

        private void send() {
            if (!statement.isRead() && !group.lease().permitsWork(connection.server())) {
                connection.server().release(connection);
                lastReason = "no lease on the primary";
                retryAfter(SessionSettings.DENIED_RETRY_NANOS);
                return;
            }
            inFlight = true;
            leaseAtSend = group.lease().grantNumber();
            requestedAt = host.now();
            clockOffsetAtRequest = group.clockOffsetMillis();
            String text = statement.serverText(session.statementNames());
            String after =
                    minimumPosition
                            .map(p -> "AFTER " + PositionField.format(p) + " ")
                            .getOrElse("");
            connection.execute(
                    statement.id(),
                    after + text,
                    statement.isRead(),
                    statement.deadline(),
                    this::handleResult);
            if (leaderRead) {
                ConnectionCleanup.rollbackAndReleaseAfter(connection, statement.deadline());
            }
        }

        /** Releases the connection, unless the rollback behind the read does. */
        private void release(String state) {
            if (!leaderRead) {
                ConnectionCleanup.rollbackIfNeededAndRelease(connection, state, host);
            }
        }

        private void handleResult(ExchangeResult result) {
            inFlight = false;
            if (result instanceof ExchangeResult.Completed completed) {
                handleCompleted(completed);
            } else if (result instanceof ExchangeResult.Failed failed) {
                if (failed.code().equals(ErrorCode.UNKNOWN.name())) {
                    connection.markReset();
                    connection.invalidateValues();
                }
                release(failed.state());
                handleFailed(failed);
            } else {
                handleLost((ExchangeResult.Lost) result);
            }
        }

        private void handleCompleted(ExchangeResult.Completed completed) {
            String state = leaderRead ? ExchangeResult.IN_TRANSACTION : ExchangeResult.IDLE;
            if (!completed.state().equals(state)) {
                // It ran outside of the transaction that was begun for it, or inside of another.
                connection.close("unexpected transaction state");
                handleLost(new ExchangeResult.Lost("unexpected transaction state"));
                return;
            }
            connection.server().recordLatency(host.now() - requestedAt);
            boolean leaseLost =
                    !statement.isRead() && !group.mayPassOnAnswer(connection.server(), leaseAtSend);
            if (leaseLost) {
                release(completed.state());
                handleLost(new ExchangeResult.Lost("the lease on the primary has ended"));
                return;
            }
            if (leaderRead || !statement.isRead()) {
                group.recordProof(
                        connection.server(),
                        completed.position(),
                        requestedAt,
                        clockOffsetAtRequest);
            }
            succeed(completed);
            release(completed.state());
        }

        private void handleFailed(ExchangeResult.Failed failed) {
            if (finished) {
                return;
            }
            lastReason = failed.code() + " from " + lastServer;
            ErrorCode code = ErrorCode.fromName(failed.code());
            switch (code) {
                case LAGGING -> {
                    excluded.add(connection.server().record().id());
                    startAttempt();
                }
                case BUSY, OVERLOAD -> {
                    if (!onLeader) {
                        excluded.add(connection.server().record().id());
                    }
                    retryAfter(SessionSettings.BUSY_RETRY_NANOS);
                }
                case READONLY -> {
                    group.leader().recordDenial(connection.server());
                    onLeader = true;
                    retryAfter(SessionSettings.DENIED_RETRY_NANOS);
                }
                case UNKNOWN -> retryAfter(0);
                case FAILED -> {
                    connection.server().recordFailure();
                    if (!onLeader) {
                        excluded.add(connection.server().record().id());
                    }
                    boolean retry = statement.isRead() && attempts.size() < 3;
                    if (retry) {
                        retryAfter(0);
                    } else {
                        fail(failed.code(), failed.text());
                    }
                }
                default -> fail(failed.code(), failed.text());
            }
        }

        private void handleLost(ExchangeResult.Lost lost) {
            lastReason = lost.reason();
            if (finished) {
                return;
            }
            boolean timedOut = host.now() - statement.deadline() >= 0;
            if (!statement.isRead()) {
                fail(ErrorCode.INDOUBT.name(), "the answer was lost: " + lost.reason());
            } else if (timedOut) {
                fail(ErrorCode.TIMEOUT.name(), "no answer within the route's timeout");
            } else if (attempts.stream().noneMatch(a -> a.inFlight)) {
                startAttempt();
            }
        }
    }
}
