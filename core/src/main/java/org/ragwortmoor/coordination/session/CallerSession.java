package org.ragwortmoor.coordination.session;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
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
    private final CallerContext context;
    private final Deque<StatementMessage> backlog = new ArrayDeque<>();
    private String database = "";
    private final CallerKey key;
    private CallerTransaction transaction;
    private StatementExecution autocommitStatement;
    private final IdleTransactionTimer idleTimer;
    private final OperationStart operationStart = new OperationStart();
    private boolean transactionAdmitted;
    private boolean handshakeDone;
    private boolean busy;
    private boolean closed;

    CallerSession(SessionEngine engine, SessionHost.CallerLink link) {
        this.engine = engine;
        this.link = link;
        this.key = new CallerKey(engine);
        this.context = new CallerContext(engine, this);
        this.idleTimer =
                new IdleTransactionTimer(
                        engine, () -> abortIdleTransaction("transaction idle for too long"));
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

    /**
     * Answers CONNECT once routes and keys are known or the wait for them has timed out.
     *
     * @param mayWait whether the answer may be left for a later call
     * @return whether CONNECT has been answered
     */
    boolean completeHandshake(boolean mayWait) {
        if (closed || handshakeDone) {
            return true;
        }
        Option<Route> route = engine.route(database);
        if (route.isEmpty()) {
            boolean unknown = engine.hasRoutes();
            sendError(
                    unknown ? ErrorCode.NODB.name() : ErrorCode.OVERLOAD.name(),
                    unknown ? "no route has this name" : "no routes are known yet");
            closeSession(unknown ? "no route" : "no routes are known");
            return true;
        }
        if (mayWait && key.unconfirmed(route.get())) {
            return false;
        }
        for (Refusal refusal : key.check(route, false, false)) {
            link.send(List.of(CallerAnswers.error(refusal)));
            closeSession(refusal.reason());
            return true;
        }
        handshakeDone = true;
        sendAnswer(List.of(CallerAnswers.ready(ExchangeResult.IDLE, PositionField.NONE)));
        return true;
    }

    String database() {
        return database;
    }

    /** Returns the name of the caller's workspace; empty if it has none. */
    String workspace() {
        return key.workspace();
    }

    /** Forgets the transaction, which has ended. */
    void transactionEnded() {
        transaction = null;
    }

    private void handle(StatementMessage message) {
        if (message.kind() == MessageKind.RELEASE) {
            closeSession("");
            return;
        }
        if (!handshakeDone) {
            if (message.kind() == MessageKind.CONNECT && !message.field(0).isEmpty()) {
                database = message.field(0);
                key.set(message.field(1));
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
        idleTimer.cancel();
        query(message.field(0), message.field(1));
    }

    private void query(String id, String text) {
        Either<String, Statement> parsed = CallerStatement.parse(id, text);
        if (!keyPermits(id, parsed)) {
            return;
        }
        if (transaction != null && transaction.failed()) {
            handleInFailedTransaction(parsed);
            return;
        }
        if (parsed.isLeft()) {
            answerError(ErrorCode.MALFORMED.name(), parsed.getLeft());
            return;
        }
        Statement statement = parsed.get();
        if (CallerStatement.isLocal(statement)) {
            if (CallerStatement.executeLocally(
                    statement, context.state(), Option.of(transaction))) {
                answerLocally();
            } else {
                answerError(ErrorCode.UNKNOWN.name(), "no statement has this name");
            }
        } else if (statement instanceof Statement.Begin begin) {
            begin(begin);
        } else if (statement instanceof Statement.Rollback) {
            rollback();
        } else {
            execute(id, statement, text);
        }
    }

    /**
     * Checks the key, which may have been withdrawn since CONNECT.
     *
     * @return false if the statement has been answered with a refusal
     */
    private boolean keyPermits(String id, Either<String, Statement> parsed) {
        boolean rollback = parsed.exists(s -> s instanceof Statement.Rollback);
        boolean inTransaction = transaction != null;
        boolean runsNothing = rollback || (inTransaction && transaction.failed());
        Option<Refusal> refusal = key.check(currentRoute(), inTransaction, runsNothing);
        boolean endsTransaction = rollback || parsed.exists(s -> s instanceof Statement.Commit);
        refusal.forEach(r -> refuse(id, endsTransaction, r, 0));
        return refusal.isEmpty();
    }

    /** Returns the route of the database or, if there is none any more, of the transaction. */
    private Option<Route> currentRoute() {
        return engine.route(database)
                .orElse(() -> Option.of(transaction).map(CallerTransaction::route));
    }

    /** Aborts an idle transaction whose key was withdrawn or has moved to another workspace. */
    void keysChanged() {
        if (transaction != null && key.changed(currentRoute())) {
            abortIdleTransaction("the key was withdrawn or has moved to another workspace");
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
            transaction = context.newTransaction(route.get(), begin.readOnly());
            transactionAdmitted = false;
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
            shape = context.state().prepared().get(execute.name());
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
        if (transaction != null && transactionAdmitted) {
            transaction.execute(routed);
            return;
        }
        operationStart.request(
                engine.gate(),
                key.workspace(),
                routed,
                () -> start(routed),
                refusal ->
                        refuse(
                                id,
                                statement instanceof Statement.Commit,
                                refusal,
                                engine.host().now() - routed.arrivedAt()));
    }

    /** Starts an operation: a statement outside of a transaction, or the first one inside. */
    private void start(RoutedStatement statement) {
        if (transaction != null) {
            transactionAdmitted = true;
            transaction.execute(statement);
            return;
        }
        autocommitStatement = context.newExecution(statement);
        autocommitStatement.start();
    }

    /** Answers a statement that has not been sent to a server, and fails the transaction. */
    private void refuse(String id, boolean endsTransaction, Refusal refusal, long nanos) {
        context.logStatement(id, "", refusal.code(), refusal.reason(), Option.none(), 0, nanos);
        if (transaction != null) {
            transaction.abandon();
        }
        if (endsTransaction) {
            transaction = null;
        }
        context.answerError(refusal.code(), refusal.reason(), refusal.retryAfterMillis());
    }

    private void answerError(String code, String reason) {
        context.answerError(code, reason, SessionSettings.RETRY_AFTER_MILLIS);
    }

    private void answerLocally() {
        sendAnswer(CallerAnswers.proxySuccess(transactionState()));
    }

    /** Returns the transaction state that answers name. */
    String transactionState() {
        if (transaction == null) {
            return ExchangeResult.IDLE;
        }
        return transaction.failed()
                ? ExchangeResult.FAILED_TRANSACTION
                : ExchangeResult.IN_TRANSACTION;
    }

    /** Ends the statement in progress and handles the next one. */
    void sendAnswer(List<StatementMessage> messages) {
        autocommitStatement = null;
        busy = false;
        if (closed) {
            return;
        }
        link.send(messages);
        if (transaction != null && !transaction.failed()) {
            idleTimer.start();
        }
        StatementMessage next = backlog.poll();
        if (next != null) {
            handle(next);
        } else if (engine.stopping()) {
            engine.sessionIdle(this);
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
        idleTimer.cancel();
        operationStart.cancel();
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
}
