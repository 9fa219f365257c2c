package org.ragwortmoor.coordination.session;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.ragwortmoor.state.statement.Statement;

/** Reads the statements of callers, and executes those that concern only the session's state. */
final class CallerStatement {
    private CallerStatement() {}

    /** Returns the statement, or the reason why it cannot be executed. */
    static Either<String, Statement> parse(String id, String text) {
        return Statement.parse(text)
                .filterOrElse(
                        statement ->
                                !RoutedStatement.changedForServers(statement)
                                        || id.length() + text.length()
                                                <= SessionSettings.MAX_CHANGED_STATEMENT_BYTES,
                        statement ->
                                "a statement of this kind may have "
                                        + SessionSettings.MAX_CHANGED_STATEMENT_BYTES
                                        + " bytes");
    }

    /** Returns whether the statement changes only the state of the session. */
    static boolean isLocal(Statement statement) {
        return statement instanceof Statement.SetValue
                || statement instanceof Statement.Prepare
                || statement instanceof Statement.Deallocate;
    }

    /**
     * Executes a local statement.
     *
     * @param transaction transaction of the session, if one is open
     * @return whether it succeeded; it fails if the session has no prepared statement of the name
     */
    static boolean executeLocally(
            Statement statement, SessionState state, Option<CallerTransaction> transaction) {
        if (statement instanceof Statement.SetValue set) {
            state.values().put(set.name(), set.value());
            transaction.forEach(CallerTransaction::markValuesChanged);
        } else if (statement instanceof Statement.Prepare prepare) {
            state.prepared().put(prepare.name(), prepare.shape());
        } else if (statement instanceof Statement.Deallocate deallocate) {
            return state.prepared().remove(deallocate.name()) != null;
        }
        return true;
    }
}
