package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/**
 * What the execution of statements needs from the session that they belong to: the session of a
 * caller of this proxy, or of another proxy that has forwarded them.
 */
interface StatementContext {
    SessionHost host();

    /** Returns the values and prepared statements of the session. */
    SessionState state();

    /** Returns the log positions that the session has to see. */
    SessionConsistency consistency();

    PreparedStatementNames statementNames();

    /** Returns the name of the caller's workspace; empty if it has none. */
    String workspace();

    /** Ends the transaction of the session. */
    void transactionEnded();

    /** Passes on the answer of a server. */
    void answer(ExchangeResult.Completed completed, String transactionState);

    /**
     * Answers with an error.
     *
     * @param retryAfterMillis delay that the caller is told if the error is retryable
     */
    void answerError(String code, String reason, int retryAfterMillis);

    /** Logs the end of a statement; see {@link DecisionLog#statement}. */
    void logStatement(
            String id,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos);
}
