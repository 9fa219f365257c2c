package org.ragwortmoor.coordination.session;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.PreparedShape;
import org.ragwortmoor.state.statement.Statement;
import org.ragwortmoor.state.statement.StatementMessage;

/** A caller's session. Statements are executed one at a time and answered in order. */
public final class CallerSession {
    private final SessionEngine engine;
    private final SessionHost.CallerLink link;
    private final Context context = new Context();
    private final SessionState state = new SessionState();
    private final SessionConsistency consistency = new SessionConsistency();
    private final Deque<StatementMessage> backlog = new ArrayDeque<>();
    private String database = "";
    private String workspace = "";
    private CallerTransaction transaction;
    private StatementExecution autocommitStatement;
    private SessionHost.Timer idleTimer;
    private boolean handshakeDone;
    private boolean busy;
    private boolean closed;

    CallerSession(SessionEngine engine, SessionHost.CallerLink link) {
        this.engine = engine;
        this.link = link;
    }

    /** Handles a message of the caller; queues it while a statement is in progress. */
    public void received(StatementMessage message) {
        if (closed) {
            return;
        }
        if (busy) {
            if (backlog.size() >= SessionSettings.MAX_BACKLOG) {
                closeSession("more than " + SessionSettings.MAX_BACKLOG + " statements are queued");
            } else {
                backlog.add(message);
            }
            return;
        }
        handle(message);
    }

    /**
     * Handles bytes that are not a valid message. The session is closed, because the start of the
     * next message cannot be determined.
     */
    public void malformed(String reason) {
        if (!closed) {
            sendError(ErrorCode.MALFORMED.name(), reason);
            closeSession(reason);
        }
    }

    /** Handles the end of the caller's connection. */
    public void disconnected() {
        if (!closed) {
            closed = true;
            releaseResources();
        }
    }

    /** Closes the session if it has no work in progress; returns whether it is closed. */
    boolean closeIfIdle() {
        if (closed || busy || transaction != null) {
            return closed;
        }
        closeSession("");
        return true;
    }

    /** Aborts an open transaction that has no statement in progress. */
    void abortIdleTransaction(String reason) {
        if (!closed && !busy && transaction != null && !transaction.failed()) {
            transaction.abandon();
            engine.log().sessionEnded(database, reason);
        }
    }

    /** Answers CONNECT once routes are known or the wait for them has timed out. */
    void completeHandshake() {
        if (closed || handshakeDone) {
            return;
        }
        Option<Route> route = engine.route(database);
        if (route.isEmpty()) {
            boolean unknown = engine.hasRoutes();
            sendError(
                    unknown ? ErrorCode.NODB.name() : ErrorCode.OVERLOAD.name(),
                    unknown ? "no route has this name" : "no routes are known yet");
            closeSession(unknown ? "no route" : "no routes are known");
            return;
        }
        handshakeDone = true;
        sendAnswer(List.of(CallerAnswers.ready(ExchangeResult.IDLE, PositionField.NONE)));
    }

    private void handle(StatementMessage message) {
        if (message.kind() == MessageKind.RELEASE) {
            closeSession("");
            return;
        }
        if (!handshakeDone) {
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
            handleInFailedTransaction(parsed);
            return;
        }
        if (parsed.isLeft()) {
            answerError(ErrorCode.MALFORMED.name(), parsed.getLeft());
            return;
        }
        Statement statement = parsed.get();
        int size = id.length() + text.length();
        if (RoutedStatement.changedForServers(statement)
                && size > SessionSettings.MAX_CHANGED_STATEMENT_BYTES) {
            answerError(
                    ErrorCode.MALFORMED.name(),
                    "a statement of this kind may have "
                            + SessionSettings.MAX_CHANGED_STATEMENT_BYTES
                            + " bytes");
            return;
        }
        if (statement instanceof Statement.SetValue set) {
            state.values().put(set.name(), set.value());
            if (transaction != null) {
                transaction.markValuesChanged();
            }
            answerLocally();
        } else if (statement instanceof Statement.Prepare prepare) {
            state.prepared().put(prepare.name(), prepare.shape());
            answerLocally();
        } else if (statement instanceof Statement.Deallocate deallocate) {
            if (state.prepared().remove(deallocate.name()) == null) {
                answerError(ErrorCode.UNKNOWN.name(), "no statement has this name");
            } else {
                answerLocally();
            }
        } else if (statement instanceof Statement.Begin begin) {
            begin(begin);
        } else if (statement instanceof Statement.Rollback) {
            rollback();
        } else {
            execute(id, statement, text);
        }
    }

    private void handleInFailedTransaction(Either<String, Statement> parsed) {
        Option<String> errorCode =
                parsed.isLeft()
                        ? Option.some(ErrorCode.MALFORMED.name())
                        : CallerAnswers.errorAfterFailure(parsed.get());
        boolean isCommit = parsed.exists(s -> s instanceof Statement.Commit);
        if (errorCode.isEmpty()) {
            rollback();
            return;
        }
        if (isCommit) {
            transaction = null;
        }
        answerError(errorCode.get(), "the transaction has failed");
    }

    private void begin(Statement.Begin begin) {
        Option<Route> route = engine.route(database);
        if (transaction != null) {
            answerError(ErrorCode.MALFORMED.name(), "a transaction is open");
        } else if (route.isEmpty()) {
            answerError(ErrorCode.NODB.name(), "no route has this name any more");
        } else {
            transaction =
                    new ForwardedTransaction(
                            context,
                            engine.streams(),
                            engine.group(route.get().group()),
                            route.get(),
                            begin.readOnly(),
                            engine.host().now());
            answerLocally();
        }
    }

    private void rollback() {
        if (transaction == null) {
            answerError(ErrorCode.MALFORMED.name(), "no transaction is open");
            return;
        }
        transaction.rollback();
        transaction = null;
        answerLocally();
    }

    private void execute(String id, Statement statement, String text) {
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
        RoutedStatement routed =
                RoutedStatement.of(id, statement, text, shape, engine.host().now(), route.get());
        if (transaction != null) {
            transaction.execute(routed);
            return;
        }
        autocommitStatement =
                new ForwardedAutocommit(
                        context, engine.streams(), engine.group(route.get().group()), routed);
        autocommitStatement.start();
    }

    private void answerError(String code, String reason) {
        context.answerError(code, reason, SessionSettings.RETRY_AFTER_MILLIS);
    }

    private void answerLocally() {
        sendAnswer(CallerAnswers.proxySuccess(transactionState()));
    }

    private String transactionState() {
        if (transaction == null) {
            return ExchangeResult.IDLE;
        }
        return transaction.failed()
                ? ExchangeResult.FAILED_TRANSACTION
                : ExchangeResult.IN_TRANSACTION;
    }

    private void sendAnswer(List<StatementMessage> messages) {
        autocommitStatement = null;
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
                    engine.host()
                            .schedule(
                                    engine.host().now() + limit,
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

    private void closeSession(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        releaseResources();
        if (!reason.isEmpty()) {
            engine.log().sessionEnded(database, reason);
        }
        link.close();
    }

    private void releaseResources() {
        cancelIdleTimer();
        backlog.clear();
        if (autocommitStatement != null) {
            autocommitStatement.abandon();
            autocommitStatement = null;
        }
        if (transaction != null) {
            transaction.abandon();
            transaction = null;
        }
        engine.sessionClosed(this);
    }

    /** Executes the statements of this session. */
    private final class Context implements StatementContext {
        @Override
        public SessionHost host() {
            return engine.host();
        }

        @Override
        public SessionState state() {
            return state;
        }

        @Override
        public SessionConsistency consistency() {
            return consistency;
        }

        @Override
        public PreparedStatementNames statementNames() {
            return engine.statementNames();
        }

        @Override
        public String workspace() {
            return workspace;
        }

        @Override
        public void transactionEnded() {
            transaction = null;
        }

        @Override
        public void answer(ExchangeResult.Completed completed, String transactionState) {
            sendAnswer(CallerAnswers.serverAnswer(completed, transactionState));
        }

        @Override
        public void answerError(String code, String reason, int retryAfterMillis) {
            sendAnswer(CallerAnswers.error(code, reason, transactionState(), retryAfterMillis));
        }

        @Override
        public void logStatement(
                String id,
                String server,
                String outcome,
                String reason,
                Option<Position> required,
                int attempts,
                long nanos) {
            engine.log()
                    .statement(id, database, server, outcome, reason, required, attempts, nanos);
        }
    }
}
