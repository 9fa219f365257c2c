package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.function.BiConsumer;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.Statement;

/** A caller of a workspace at a proxy, without the messages of its session. */
final class WorkspaceCaller implements StatementContext {
    private final SessionEngine engine;
    private final String workspace;
    private final SessionState state = new SessionState();
    private final SessionConsistency consistency = new SessionConsistency();
    private final BiConsumer<String, String> listener;
    private CallerTransaction transaction;
    private String currentId = "";

    /**
     * Creates a caller.
     *
     * @param listener receives the id and the outcome of each statement: {@code ok} or an error
     *     code
     */
    WorkspaceCaller(SessionEngine engine, String workspace, BiConsumer<String, String> listener) {
        this.engine = engine;
        this.workspace = workspace;
        this.listener = listener;
    }

    /** Executes a statement, in the open transaction if there is one. */
    void send(String id, String text, String database) {
        currentId = id;
        Route route = engine.route(database).get();
        RoutedStatement statement =
                RoutedStatement.of(
                        id, Statement.parse(text).get(), text, null, engine.host().now(), route);
        if (transaction != null) {
            transaction.execute(statement);
        } else {
            new ForwardedAutocommit(this, engine.streams(), group(route), statement).start();
        }
    }

    void begin(String database, boolean readOnly) {
        Route route = engine.route(database).get();
        transaction =
                new ForwardedTransaction(
                        this, engine.streams(), group(route), route, readOnly, engine.host().now());
    }

    private ServerGroup group(Route route) {
        ServerGroup group = engine.group(route.group());
        if (group.holders().holdsConnections()) {
            group.markUsed();
        }
        return group;
    }

    boolean inTransaction() {
        return transaction != null;
    }

    void rollback() {
        transaction.rollback();
        transaction = null;
    }

    /** Sets a value of the session, which connections have to have. */
    void setValue(String name, String value) {
        state.values().put(name, value);
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
        transaction = null;
    }

    @Override
    public void answer(ExchangeResult.Completed completed, String transactionState) {
        listener.accept(currentId, "ok");
    }

    @Override
    public void answerError(String code, String reason, int retryAfterMillis) {
        if (transaction != null) {
            transaction.abandon();
            transaction = null;
        }
        listener.accept(currentId, code);
    }

    @Override
    public void logStatement(
            String id,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos) {}
}
