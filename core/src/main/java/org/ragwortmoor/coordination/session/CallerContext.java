package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;

/** The state of a caller's session that the execution of its statements needs. */
final class CallerContext implements StatementContext {
    private final SessionEngine engine;
    private final CallerSession session;
    private final SessionState state = new SessionState();
    private final SessionConsistency consistency = new SessionConsistency();

    CallerContext(SessionEngine engine, CallerSession session) {
        this.engine = engine;
        this.session = session;
    }

    /** Returns a new transaction, which has not sent anything to a server. */
    CallerTransaction newTransaction(Route route, boolean readOnly) {
        return new ForwardedTransaction(
                this,
                engine.streams(),
                engine.group(route.group()),
                route,
                readOnly,
                engine.host().now());
    }

    /** Returns the execution of a statement outside of a transaction. */
    StatementExecution newExecution(RoutedStatement statement) {
        return new ForwardedAutocommit(
                this, engine.streams(), engine.group(statement.route().group()), statement);
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
        return session.workspace();
    }

    @Override
    public void transactionEnded() {
        session.transactionEnded();
    }

    @Override
    public void answer(ExchangeResult.Completed completed, String transactionState) {
        session.sendAnswer(CallerAnswers.serverAnswer(completed, transactionState));
    }

    @Override
    public void answerError(String code, String reason, int retryAfterMillis) {
        session.sendAnswer(
                CallerAnswers.error(code, reason, session.transactionState(), retryAfterMillis));
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
                .statement(
                        id, session.database(), server, outcome, reason, required, attempts, nanos);
    }
}
