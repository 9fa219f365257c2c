package org.ragwortmoor.coordination.session;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.PreparedShape;
import org.ragwortmoor.state.statement.Statement;
import org.ragwortmoor.state.statement.StatementMessage;

/** A caller's session: one statement at a time, answered in order. */
public final class CallerSession {
    private final SessionEngine engine;
    private final SessionHost.CallerLink link;
    private final SessionState state = new SessionState();
    private final Deque<StatementMessage> backlog = new ArrayDeque<>();
    private String database = "";
    private Option<Position> lastCommit = Option.none();
    private PinnedTransaction transaction;
    private SingleStatement single;
    private SessionHost.Timer idleTimer;
    private boolean greeted;
    private boolean busy;
    private boolean closed;

    CallerSession(SessionEngine engine, SessionHost.CallerLink link) {
        this.engine = engine;
        this.link = link;
    }

    /** Takes a message of the caller. */
    public void received(StatementMessage message) {
        if (closed) {
            return;
        }
        if (busy) {
            if (backlog.size() >= SessionSettings.MAX_BACKLOG) {
                end("more than " + SessionSettings.MAX_BACKLOG + " statements wait");
            } else {
                backlog.add(message);
            }
            return;
        }
        handle(message);
    }

    /** Takes bytes that are no message; the session ends, because what follows is not known. */
    public void malformed(String reason) {
        if (!closed) {
            sendError(ErrorCode.MALFORMED.name(), reason);
            end(reason);
        }
    }

    /** The caller's connection has ended. */
    public void disconnected() {
        if (!closed) {
            closed = true;
            release();
        }
    }

    /** Ends the session if nothing of the caller's is in progress; returns whether it did. */
    boolean closeIfIdle() {
        if (closed || busy || transaction != null) {
            return closed;
        }
        end("");
        return true;
    }

    /** Aborts an open transaction whose caller is not waiting for an answer. */
    void abortIdleTransaction(String reason) {
        if (!closed && !busy && transaction != null && !transaction.failed()) {
            transaction.abandon();
            engine.log().sessionEnded(database, reason);
        }
    }

    boolean waitsForGreeting() {
        return busy && !greeted;
    }

    SessionHost host() {
        return engine.host();
    }

    SessionState state() {
        return state;
    }

    PreparedNames names() {
        return engine.names();
    }

    /** Returns the position that a read of this session must see, if enough is known. */
    Option<Position> requiredPosition(ServerGroup group, Route route, long arrivedAt) {
        if (route.kind() == RouteKind.PRIMARY) {
            return Option.none();
        }
        long staleness = TimeUnit.MILLISECONDS.toNanos(route.maxStalenessMillis());
        Option<Position> bound = group.required(arrivedAt - staleness);
        boolean ownWrites = route.kind() == RouteKind.READ_YOUR_WRITES;
        // The order by term, then index holds here: what a higher term lacks of a lower one was
        // discarded by the promotion.
        return ownWrites
                ? bound.map(p -> lastCommit.filter(own -> own.compareTo(p) > 0).getOrElse(p))
                : bound;
    }

    /** Notes the position after a commit of this session. */
    void committedAt(Position position) {
        lastCommit = Option.some(position);
    }

    /** Notes what a read has seen; a leader of a later term has what is left of earlier ones. */
    void readAt(Position position, boolean onLeader) {
        if (onLeader && lastCommit.exists(own -> own.term() < position.term())) {
            lastCommit = Option.some(position);
        }
    }

    void transactionEnded() {
        transaction = null;
    }

    /** Sends a server's answer to the caller. */
    void answer(ExchangeResult.Completed completed, String transactionState) {
        finish(CallerAnswers.served(completed, transactionState));
    }

    /** Sends an error to the caller. */
    void answerError(String code, String reason) {
        finish(CallerAnswers.error(code, reason, stateName()));
    }

    void logStatement(
            String id,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos) {
        engine.log().statement(id, database, server, outcome, reason, required, attempts, nanos);
    }

    /** Answers the greeting of a session that waited for routes. */
    void greet() {
        if (closed || greeted) {
            return;
        }
        Option<Route> route = engine.route(database);
        if (route.isEmpty()) {
            boolean unknown = engine.hasRoutes();
            sendError(
                    unknown ? ErrorCode.NODB.name() : ErrorCode.OVERLOAD.name(),
                    unknown ? "no route has this name" : "no routes are known yet");
            end(unknown ? "no route" : "no routes are known");
            return;
        }
        greeted = true;
        finish(List.of(CallerAnswers.ready(ExchangeResult.IDLE, PositionField.NONE)));
    }

    private void handle(StatementMessage message) {
        if (message.kind() == MessageKind.RELEASE) {
            end("");
            return;
        }
        if (!greeted) {
            if (message.kind() == MessageKind.CONNECT && !message.field(0).isEmpty()) {
                database = message.field(0);
                busy = true;
                engine.awaitRoutes(this);
            } else {
                malformed("a session starts with CONNECT and a database");
            }
            return;
        }
        if (message.kind() != MessageKind.QUERY || message.fields().size() < 2) {
            malformed("a statement is QUERY, an id and a text");
            return;
        }
        busy = true;
        cancelIdleTimer();
        query(message.field(0), message.field(1));
    }

    private void query(String id, String text) {
        Either<String, Statement> parsed = Statement.parse(text);
        if (transaction != null && transaction.failed()) {
            afterFailure(parsed);
            return;
        }
        if (parsed.isLeft()) {
            answerError(ErrorCode.MALFORMED.name(), parsed.getLeft());
            return;
        }
        Statement statement = parsed.get();
        if (statement instanceof Statement.SetValue set) {
            state.values().put(set.name(), set.value());
            if (transaction != null) {
                transaction.valueSet();
            }
            answerOwn();
        } else if (statement instanceof Statement.Prepare prepare) {
            state.prepared().put(prepare.name(), prepare.shape());
            answerOwn();
        } else if (statement instanceof Statement.Deallocate deallocate) {
            if (state.prepared().remove(deallocate.name()) == null) {
                answerError(ErrorCode.UNKNOWN.name(), "no statement has this name");
            } else {
                answerOwn();
            }
        } else if (statement instanceof Statement.Begin begin) {
            begin(begin);
        } else if (statement instanceof Statement.Rollback) {
            rollback();
        } else {
            serve(id, statement, text);
        }
    }

    private void afterFailure(Either<String, Statement> parsed) {
        Option<String> refusal =
                parsed.isLeft()
                        ? Option.some(ErrorCode.MALFORMED.name())
                        : PinnedTransaction.refusalAfterFailure(parsed.get());
        boolean ends = parsed.exists(s -> s instanceof Statement.Commit);
        if (refusal.isEmpty()) {
            rollback();
            return;
        }
        if (ends) {
            transaction = null;
        }
        answerError(refusal.get(), "the transaction has failed");
    }

    private void begin(Statement.Begin begin) {
        Option<Route> route = engine.route(database);
        if (transaction != null) {
            answerError(ErrorCode.MALFORMED.name(), "a transaction is open");
        } else if (route.isEmpty()) {
            answerError(ErrorCode.NODB.name(), "no route has this name any more");
        } else {
            transaction =
                    new PinnedTransaction(
                            this,
                            engine.group(route.get().group()),
                            route.get(),
                            begin.readOnly(),
                            host().now());
            answerOwn();
        }
    }

    private void rollback() {
        if (transaction == null) {
            answerError(ErrorCode.MALFORMED.name(), "no transaction is open");
            return;
        }
        transaction.rollback();
        transaction = null;
        answerOwn();
    }

    private void serve(String id, Statement statement, String text) {
        PreparedShape shape = null;
        if (statement instanceof Statement.Execute execute) {
            shape = state.prepared().get(execute.name());
            if (shape == null) {
                answerError(ErrorCode.UNKNOWN.name(), "no statement has this name");
                return;
            }
        }
        if (transaction == null && statement instanceof Statement.Commit) {
            answerError(ErrorCode.MALFORMED.name(), "no transaction is open");
            return;
        }
        Option<Route> route =
                transaction == null ? engine.route(database) : Option.some(transaction.route());
        if (route.isEmpty()) {
            answerError(ErrorCode.NODB.name(), "no route has this name any more");
            return;
        }
        ServedStatement served =
                ServedStatement.of(id, statement, text, shape, host().now(), route.get());
        if (transaction != null) {
            transaction.run(served);
            return;
        }
        single = new SingleStatement(this, engine.group(route.get().group()), served);
        single.start();
    }

    private void answerOwn() {
        finish(CallerAnswers.own(stateName()));
    }

    private String stateName() {
        if (transaction == null) {
            return ExchangeResult.IDLE;
        }
        return transaction.failed()
                ? ExchangeResult.FAILED_TRANSACTION
                : ExchangeResult.IN_TRANSACTION;
    }

    private void finish(List<StatementMessage> messages) {
        single = null;
        busy = false;
        if (closed) {
            return;
        }
        link.send(messages);
        if (transaction != null && !transaction.failed()) {
            startIdleTimer();
        }
        StatementMessage next = backlog.poll();
        if (next != null) {
            handle(next);
        } else if (engine.stopping()) {
            engine.sessionIdle(this);
        }
    }

    private void startIdleTimer() {
        cancelIdleTimer();
        long limit = TimeUnit.MILLISECONDS.toNanos(engine.idleTransactionMillis());
        if (limit > 0) {
            idleTimer =
                    host().schedule(
                                    host().now() + limit,
                                    () -> abortIdleTransaction("transaction idle for too long"));
        }
    }

    private void cancelIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel();
            idleTimer = null;
        }
    }

    private void sendError(String code, String reason) {
        link.send(List.of(StatementMessage.of(MessageKind.ERROR, code, reason)));
    }

    private void end(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        release();
        if (!reason.isEmpty()) {
            engine.log().sessionEnded(database, reason);
        }
        link.close();
    }

    private void release() {
        cancelIdleTimer();
        backlog.clear();
        if (single != null) {
            single.abandon();
            single = null;
        }
        if (transaction != null) {
            transaction.abandon();
            transaction = null;
        }
        engine.ended(this);
    }
}
