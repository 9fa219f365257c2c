package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.Map;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.PreparedShape;

/**
 * A statement that a proxy forwards to a proxy that holds connections to the group.
 *
 * @param stream identifies an execution on the link between the proxies: one statement, or all
 *     statements of a transaction
 * @param first whether it is the first statement of the stream
 * @param id statement id assigned by the caller
 * @param text statement as sent by the caller
 * @param shape shape of the prepared statement to execute, if any
 * @param arguments text after the name of the prepared statement
 * @param route route at the start of the transaction; its timeout is the time that is left
 * @param values session values of the caller
 * @param lastCommit log position of the last commit of the session, if any
 * @param mode how the statement is executed
 * @param transactionAgeMillis time since the transaction began, in milliseconds
 * @param valuesChanged whether the caller changed a session value inside the transaction
 * @param mayDecline whether another proxy could execute the statement if this one has no connection
 *     to the leader
 * @param workspace name of the caller's workspace; empty if it has none
 */
public record ForwardedStatement(
        long stream,
        boolean first,
        String id,
        String text,
        Option<PreparedShape> shape,
        String arguments,
        Route route,
        Map<String, String> values,
        Option<Position> lastCommit,
        Mode mode,
        long transactionAgeMillis,
        boolean valuesChanged,
        boolean mayDecline,
        String workspace) {
    /** How a statement is executed. */
    public enum Mode {
        /** Outside of a transaction. */
        AUTOCOMMIT,
        /** Inside a transaction that may write. */
        TRANSACTION,
        /** Inside a transaction that was begun as read only. */
        READ_TRANSACTION
    }

    /** Copies the values. */
    public ForwardedStatement {
        values = Map.copyOf(values);
    }

    static ForwardedStatement of(
            long stream,
            boolean first,
            RoutedStatement statement,
            StatementContext session,
            Mode mode,
            long transactionAgeMillis,
            boolean valuesChanged,
            boolean mayDecline) {
        long left = statement.deadline() - session.host().now();
        return new ForwardedStatement(
                stream,
                first,
                statement.id(),
                statement.text(),
                Option.of(statement.shape()),
                statement.arguments(),
                withTimeout(statement.route(), (int) Math.max(1, left / 1_000_000)),
                session.state().values(),
                session.consistency().lastCommit(),
                mode,
                transactionAgeMillis,
                valuesChanged,
                mayDecline,
                session.workspace());
    }

    private static Route withTimeout(Route route, int timeoutMillis) {
        return new Route(
                route.name(),
                route.database(),
                route.prefix(),
                route.kind(),
                route.group(),
                timeoutMillis,
                route.targetMillis(),
                route.priority(),
                route.maxStalenessMillis(),
                route.keyExempt());
    }
}
