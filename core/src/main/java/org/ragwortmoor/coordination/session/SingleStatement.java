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
 * A statement outside of a transaction.
 *
 * <p>A read runs on any server whose log contains the required position, or on the leader inside a
 * transaction of the proxy, which only the leader accepts. A read is sent again when its answer is
 * lost, a write only when a server has said that it did not run.
 */
final class SingleStatement {
    private final CallerSession session;
    private final SessionHost host;
    private final ServerGroup group;
    private final ServedStatement statement;
    private final Set<String> excluded = new HashSet<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean onLeader;
    private boolean finished;
    private String lastServer = "";
    private String lastReason = "";
    private Option<Position> required = Option.none();
    private SessionHost.Timer hedge;

    SingleStatement(CallerSession session, ServerGroup group, ServedStatement statement) {
        this.session = session;
        this.host = session.host();
        this.group = group;
        this.statement = statement;
        this.onLeader = !statement.reads() || statement.route().kind() == RouteKind.PRIMARY;
    }

    void start() {
        if (statement.reads()) {
            long target = TimeUnit.MILLISECONDS.toNanos(statement.route().targetMillis());
            hedge = host.schedule(statement.arrivedAt() + target / 2, this::hedge);
        }
        attempt();
    }

    /** The caller has gone: nothing more is sent. */
    void abandon() {
        finished = true;
        cancelHedge();
        attempts.forEach(Attempt::cancelWait);
    }

    private void attempt() {
        if (finished) {
            return;
        }
        if (attempts.size() >= SessionSettings.MAX_ATTEMPTS
                || host.now() - statement.waitDeadline() >= 0) {
            refuse();
            return;
        }
        if (!onLeader) {
            required = session.requiredPosition(group, statement.route(), statement.arrivedAt());
            onLeader = required.isEmpty();
        }
        Attempt next = new Attempt();
        attempts.add(next);
        next.start();
    }

    private void retryAfter(long pause) {
        host.schedule(host.now() + pause, this::attempt);
    }

    /** Sends a read once more elsewhere when half of its latency objective has passed. */
    private void hedge() {
        boolean waiting = attempts.size() == 1 && attempts.get(0).sent;
        if (!finished && waiting) {
            excluded.add(lastServer);
            attempt();
        }
    }

    private void cancelHedge() {
        if (hedge != null) {
            hedge.cancel();
        }
    }

    private void refuse() {
        boolean running = attempts.stream().anyMatch(a -> a.sent);
        if (running) {
            return;
        }
        finish(ErrorCode.OVERLOAD.name(), lastReason.isEmpty() ? "no server was free" : lastReason);
    }

    private void finish(String code, String reason) {
        if (finished) {
            return;
        }
        finished = true;
        cancelHedge();
        attempts.forEach(Attempt::cancelWait);
        log(code, reason);
        session.answerError(code, reason);
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
                        statement.reads()
                                ? p -> session.readAt(p, onLeader)
                                : session::committedAt);
        log("ok", "");
        session.answer(completed, ExchangeResult.IDLE);
    }

    /** One try on one connection. */
    private final class Attempt implements LeaseRequest.Outcome {
        private final boolean leaderRead = onLeader && statement.reads();
        private final Option<Position> demanded = onLeader ? Option.none() : required;
        private LeaseRequest request;
        private ServerConnection connection;
        private long askedAt;
        private long askedOffset;
        private boolean sent;

        void start() {
            LeaseRequest.Need need = onLeader ? LeaseRequest.Need.LEADER : LeaseRequest.Need.ANY;
            request =
                    new LeaseRequest(
                            need,
                            statement.route().priority(),
                            session.state().values(),
                            excluded,
                            group.patience(need, statement.route(), statement.waitDeadline()),
                            this);
            group.request(request);
        }

        void cancelWait() {
            if (connection == null) {
                group.cancel(request);
            }
        }

        @Override
        public void expired() {
            if (!finished) {
                refuse();
            }
        }

        @Override
        public void exhausted() {
            // No replica can show the required position in time; the leader always can.
            onLeader = true;
            attempt();
        }

        @Override
        public void granted(ServerConnection lease) {
            if (finished) {
                lease.server().release(lease);
                return;
            }
            connection = lease;
            lastServer = lease.server().record().id();
            List<String> steps =
                    session.state().stepsFor(lease, session.names(), statement.shape());
            if (leaderRead) {
                steps.add("BEGIN");
            }
            askedAt = host.now();
            askedOffset = group.clockOffset();
            if (steps.isEmpty()) {
                send();
            } else {
                Steps.run(lease, steps, statement.deadline(), this::prepared);
            }
        }

        private void prepared(ExchangeResult result) {
            if (!(result instanceof ExchangeResult.Completed completed)) {
                notPrepared(result);
                return;
            }
            if (leaderRead) {
                group.proved(connection.server(), completed.position(), askedAt, askedOffset);
            }
            if (finished) {
                Rollback.releaseAfter(connection, completed.state(), host);
                return;
            }
            send();
        }

        /** Nothing of the caller's statement was sent, so it can start again. */
        private void notPrepared(ExchangeResult result) {
            long pause = 0;
            if (result instanceof ExchangeResult.Failed failed) {
                lastReason = failed.code() + " before the statement";
                if (failed.code().equals(ErrorCode.READONLY.name())) {
                    group.leader().denied(connection.server());
                    // The values were set; only the transaction was refused.
                    Rollback.releaseAfter(connection, failed.state(), host);
                    pause = SessionSettings.DENIED_RETRY;
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
            sent = true;
            askedAt = host.now();
            askedOffset = group.clockOffset();
            String text = statement.serverText(session.names());
            String after =
                    demanded.map(p -> "AFTER " + PositionField.format(p) + " ").getOrElse("");
            connection.ask(statement.id(), after + text, statement.deadline(), this::answered);
        }

        private void answered(ExchangeResult result) {
            sent = false;
            if (result instanceof ExchangeResult.Completed completed) {
                completed(completed);
            } else if (result instanceof ExchangeResult.Failed failed) {
                if (failed.code().equals(ErrorCode.UNKNOWN.name())) {
                    connection.cleared();
                    connection.forgetValues();
                }
                Rollback.releaseAfter(connection, failed.state(), host);
                failed(failed);
            } else {
                lost((ExchangeResult.Lost) result);
            }
        }

        private void completed(ExchangeResult.Completed completed) {
            if (!completed.signed()) {
                connection.close("answer without signature");
                lost(new ExchangeResult.Lost("answer without signature"));
                return;
            }
            connection.server().took(host.now() - askedAt);
            if (!statement.reads()) {
                group.proved(connection.server(), completed.position(), askedAt, askedOffset);
            }
            succeed(completed);
            Rollback.releaseAfter(connection, completed.state(), host);
        }

        private void failed(ExchangeResult.Failed failed) {
            if (finished) {
                return;
            }
            lastReason = failed.code() + " from " + lastServer;
            ErrorCode code = ErrorCode.fromName(failed.code());
            switch (code) {
                case LAGGING -> {
                    excluded.add(connection.server().record().id());
                    attempt();
                }
                case BUSY, OVERLOAD -> {
                    if (!onLeader) {
                        excluded.add(connection.server().record().id());
                    }
                    retryAfter(SessionSettings.BUSY_RETRY);
                }
                case READONLY -> {
                    group.leader().denied(connection.server());
                    onLeader = true;
                    retryAfter(SessionSettings.DENIED_RETRY);
                }
                case UNKNOWN -> retryAfter(0);
                case FAILED -> {
                    boolean again = statement.reads() && attempts.size() < 3;
                    if (again) {
                        retryAfter(0);
                    } else {
                        finish(failed.code(), failed.text());
                    }
                }
                default -> finish(failed.code(), failed.text());
            }
        }

        private void lost(ExchangeResult.Lost lost) {
            lastReason = lost.reason();
            if (finished) {
                return;
            }
            boolean late = host.now() - statement.deadline() >= 0;
            if (!statement.reads()) {
                finish(ErrorCode.INDOUBT.name(), "the answer was lost: " + lost.reason());
            } else if (late) {
                finish(ErrorCode.TIMEOUT.name(), "no answer within the route's timeout");
            } else if (attempts.stream().noneMatch(a -> a.sent)) {
                attempt();
            }
        }
    }
}
