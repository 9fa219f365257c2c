package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.PreparedShape;
import org.ragwortmoor.state.statement.Statement;

/** Executes one forwarded statement, or the statements of one forwarded transaction. */
final class HolderStream implements StatementContext {
    private final SessionEngine engine;
    private final String from;
    private final SessionState state = new SessionState();
    private final SessionConsistency consistency = new SessionConsistency();
    private Consumer<ForwardedResult> reply = result -> {};
    private Option<StatementExecution> autocommitStatement = Option.none();
    private Option<CallerTransaction> transaction = Option.none();
    private SessionHost.Timer idleTimer;
    private ServerGroup group;
    private String server = "";
    private String workspace = "";
    private boolean mayDecline;
    private boolean valuesMarked;
    private boolean answered;
    private boolean ended;

    HolderStream(SessionEngine engine, String from) {
        this.engine = engine;
        this.from = from;
    }

    /**
     * Executes the next statement.
     *
     * @param replyTo receives the result, once
     */
    void execute(ForwardedStatement statement, Consumer<ForwardedResult> replyTo) {
        cancelIdleTimer();
        reply = replyTo;
        answered = false;
        server = "";
        mayDecline = statement.mayDecline();
        workspace = statement.workspace();
        state.values().clear();
        state.values().putAll(statement.values());
        consistency.setLastCommit(statement.lastCommit());
        Option<RoutedStatement> routed = route(statement);
        group = engine.group(statement.route().group());
        if (routed.isEmpty() || group == null) {
            answerError(ErrorCode.MALFORMED.name(), "the forwarded statement is not valid here", 0);
            return;
        }
        group.markUsed();
        if (connectionsUsedUp(statement, routed.get())) {
            decline(ForwardedResult.Declined.CONNECTIONS_USED_UP);
            return;
        }
        if (statement.mode() == ForwardedStatement.Mode.AUTOCOMMIT) {
            StatementExecution execution = new AutocommitStatement(this, group, routed.get());
            autocommitStatement = Option.some(execution);
            execution.start();
        } else {
            executeInTransaction(statement, routed.get());
        }
        declineIfLeaderUnreachable();
    }

    /** Returns whether another holder may execute the first statement of a workspace earlier. */
    private boolean connectionsUsedUp(ForwardedStatement statement, RoutedStatement routed) {
        if (!mayDecline || workspace.isEmpty() || transaction.isDefined()) {
            return false;
        }
        ConnectionRequest.Target target =
                statement.mode() == ForwardedStatement.Mode.TRANSACTION
                        ? ConnectionRequest.Target.LEADER
                        : routed.target();
        return group.connectionsUsedUp(workspace, target);
    }

    private void executeInTransaction(ForwardedStatement statement, RoutedStatement routed) {
        if (transaction.isEmpty()) {
            long age = TimeUnit.MILLISECONDS.toNanos(statement.transactionAgeMillis());
            boolean readOnly = statement.mode() == ForwardedStatement.Mode.READ_TRANSACTION;
            transaction =
                    Option.some(
                            new PinnedTransaction(
                                    this, group, statement.route(), readOnly, host().now() - age));
        }
        if (statement.valuesChanged() && !valuesMarked) {
            valuesMarked = true;
            transaction.get().markValuesChanged();
        }
        transaction.get().execute(routed);
    }

    private Option<RoutedStatement> route(ForwardedStatement statement) {
        Route route = statement.route();
        long now = host().now();
        if (statement.shape().isDefined()) {
            PreparedShape shape = statement.shape().get();
            return Option.some(
                    RoutedStatement.ofPrepared(
                            statement.id(),
                            statement.text(),
                            shape,
                            statement.arguments(),
                            now,
                            route));
        }
        return Statement.parse(statement.text())
                .toOption()
                .filter(HolderStream::runsOnServers)
                .map(
                        s ->
                                RoutedStatement.of(
                                        statement.id(), s, statement.text(), null, now, route));
    }

    private static boolean runsOnServers(Statement statement) {
        return statement instanceof Statement.Read
                || statement instanceof Statement.Write
                || statement instanceof Statement.Commit;
    }

    /** Declines the statement if it waits for a leader that another proxy may reach. */
    void declineIfLeaderUnreachable() {
        if (answered || !mayDecline) {
            return;
        }
        boolean waiting =
                autocommitStatement.exists(StatementExecution::awaitsLeader)
                        || transaction.exists(CallerTransaction::awaitsLeader);
        if (waiting && group.leaderUnreachable()) {
            decline("the leader is not reachable");
        }
    }

    private void decline(String reason) {
        ForwardedResult declined = new ForwardedResult.Declined(reason);
        Consumer<ForwardedResult> replyTo = reply;
        answered = true;
        abandon();
        replyTo.accept(declined);
    }

    /** Abandons the statement in progress and rolls back the transaction. */
    void abandon() {
        ended = true;
        cancelIdleTimer();
        autocommitStatement.forEach(StatementExecution::abandon);
        transaction.forEach(CallerTransaction::abandon);
        autocommitStatement = Option.none();
        transaction = Option.none();
    }

    /** Returns whether the stream has ended, so that it can be forgotten. */
    boolean ended() {
        return ended;
    }

    /** Returns whether a transaction is open that waits for its next statement. */
    boolean idleInTransaction() {
        return answered && transaction.isDefined();
    }

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
        transaction = Option.none();
        ended = true;
    }

    @Override
    public void answer(ExchangeResult.Completed completed, String transactionState) {
        reply(
                new ForwardedResult.Succeeded(
                        completed.rows(),
                        completed.signature(),
                        completed.position(),
                        consistency.lastCommit(),
                        server));
    }

    @Override
    public void answerError(String code, String reason, int retryAfterMillis) {
        // A failed transaction has been rolled back already.
        ended = true;
        reply(new ForwardedResult.Failed(code, reason, server, retryAfterMillis));
    }

    private void reply(ForwardedResult result) {
        if (answered) {
            return;
        }
        answered = true;
        if (autocommitStatement.isDefined()) {
            ended = true;
        } else if (transaction.isDefined()) {
            startIdleTimer();
        }
        reply.accept(result);
    }

    private void startIdleTimer() {
        long limit =
                TimeUnit.MILLISECONDS.toNanos(engine.idleTransactionMillis())
                        + SessionSettings.FORWARDED_IDLE_MARGIN_NANOS;
        idleTimer = host().schedule(host().now() + limit, this::abandon);
    }

    private void cancelIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel();
            idleTimer = null;
        }
    }

    @Override
    public void logStatement(
            String id,
            String usedServer,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos) {
        server = usedServer;
        engine.log()
                .forwardedStatement(
                        id, from, usedServer, outcome, reason, required, attempts, nanos);
    }
}
