package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.PreparedShape;
import org.ragwortmoor.state.statement.Statement;

/**
 * A caller's statement with what it needs from a server.
 *
 * @param id the caller's id of the statement
 * @param kind what the statement does
 * @param text the statement as the caller wrote it
 * @param shape shape of a prepared statement, or null
 * @param arguments text behind the name of a prepared statement
 * @param arrivedAt time of its arrival
 * @param route route in force at the start of its transaction
 */
record ServedStatement(
        String id,
        Kind kind,
        String text,
        PreparedShape shape,
        String arguments,
        long arrivedAt,
        Route route) {
    /** What a statement does. */
    enum Kind {
        READ,
        WRITE,
        COMMIT
    }

    static ServedStatement of(
            String id,
            Statement statement,
            String text,
            PreparedShape shape,
            long arrivedAt,
            Route route) {
        if (statement instanceof Statement.Execute execute) {
            Kind kind = shape.writes() ? Kind.WRITE : Kind.READ;
            return new ServedStatement(id, kind, text, shape, execute.rest(), arrivedAt, route);
        }
        Kind kind =
                statement instanceof Statement.Read
                        ? Kind.READ
                        : statement instanceof Statement.Write ? Kind.WRITE : Kind.COMMIT;
        return new ServedStatement(id, kind, text, null, "", arrivedAt, route);
    }

    /** Returns the text for a server, which knows prepared statements by other names. */
    String serverText(PreparedNames names) {
        return shape == null ? text : "EXECUTE " + names.of(shape) + " " + arguments;
    }

    /** Returns the time at which the statement must have been answered. */
    long deadline() {
        return arrivedAt + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
    }

    /** Returns the time after which it is refused if no server has got it. */
    long waitDeadline() {
        long timeout = TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis());
        return arrivedAt + (long) (timeout * SessionSettings.WAIT_SHARE);
    }

    boolean reads() {
        return kind == Kind.READ;
    }
}
