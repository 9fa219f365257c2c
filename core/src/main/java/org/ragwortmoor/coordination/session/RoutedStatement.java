package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.PreparedShape;
import org.ragwortmoor.state.statement.Statement;

/**
 * A caller's statement with the route that applies to it.
 *
 * @param id statement id assigned by the caller
 * @param kind kind of the statement
 * @param text statement as sent by the caller
 * @param shape shape of the prepared statement to execute, or null
 * @param arguments text after the name of the prepared statement
 * @param arrivedAt time at which the statement arrived, in nanoseconds
 * @param route route at the start of the transaction
 */
record RoutedStatement(
        String id,
        Kind kind,
        String text,
        PreparedShape shape,
        String arguments,
        long arrivedAt,
        Route route) {
    /** Kind of a statement. */
    enum Kind {
        READ,
        WRITE,
        COMMIT
    }

    static RoutedStatement of(
            String id,
            Statement statement,
            String text,
            PreparedShape shape,
            long arrivedAt,
            Route route) {
        if (statement instanceof Statement.Execute execute) {
            return ofPrepared(id, text, shape, execute.rest(), arrivedAt, route);
        }
        Kind kind =
                statement instanceof Statement.Read
                        ? Kind.READ
                        : statement instanceof Statement.Write ? Kind.WRITE : Kind.COMMIT;
        return new RoutedStatement(id, kind, text, null, "", arrivedAt, route);
    }

    static RoutedStatement ofPrepared(
            String id,
            String text,
            PreparedShape shape,
            String arguments,
            long arrivedAt,
            Route route) {
        Kind kind = shape.writes() ? Kind.WRITE : Kind.READ;
        return new RoutedStatement(id, kind, text, shape, arguments, arrivedAt, route);
    }

    /** Returns whether servers receive the statement with a prefix, another name or another id. */
    static boolean changedForServers(Statement statement) {
        return statement instanceof Statement.Read
                || statement instanceof Statement.Execute
                || statement instanceof Statement.Prepare
                || statement instanceof Statement.SetValue;
    }

    /** Returns the text to send to a server, where prepared statements have other names. */
    String serverText(PreparedStatementNames names) {
        return shape == null ? text : "EXECUTE " + names.nameOf(shape) + " " + arguments;
    }

    /** Returns the time by which the statement must be answered. */
    long deadline() {
        return arrivedAt + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
    }

    /** Returns the time by which the statement must have been sent to a server. */
    long sendDeadline() {
        long timeout = TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
        return arrivedAt + (long) (timeout * SessionSettings.SEND_DEADLINE_FRACTION);
    }

    boolean isRead() {
        return kind == Kind.READ;
    }

    /** Returns the servers that can execute the statement outside of a transaction. */
    ConnectionRequest.Target target() {
        return ConnectionRequest.Target.of(route, isRead());
    }
}
