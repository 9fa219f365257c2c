package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.Statement;
import org.ragwortmoor.state.statement.StatementMessage;

/** Builds the messages that answer a caller's statement. */
final class CallerAnswers {
    private CallerAnswers() {}

    /** Returns the answer of a server, with the transaction state of the caller's session. */
    static List<StatementMessage> serverAnswer(
            ExchangeResult.Completed completed, String transactionState) {
        List<StatementMessage> messages = new ArrayList<>();
        completed.rows().forEach(row -> messages.add(StatementMessage.of(MessageKind.ROW, row)));
        messages.add(StatementMessage.of(MessageKind.COMPLETE, completed.signature()));
        messages.add(ready(transactionState, PositionField.format(completed.position())));
        return messages;
    }

    /** Returns a success answer for a statement that the proxy has executed itself. */
    static List<StatementMessage> proxySuccess(String transactionState) {
        return List.of(
                StatementMessage.of(MessageKind.COMPLETE, ExchangeResult.UNSIGNED),
                ready(transactionState, PositionField.NONE));
    }

    /**
     * Returns an error; if it is caused by overload, its text starts with a retry delay.
     *
     * @param retryAfterMillis the delay, in milliseconds
     */
    static List<StatementMessage> error(
            String code, String reason, String transactionState, int retryAfterMillis) {
        return List.of(
                error(new Refusal(code, reason, retryAfterMillis)),
                ready(transactionState, PositionField.NONE));
    }

    /** Returns the error of a refusal, without the message that ends an answer. */
    static StatementMessage error(Refusal refusal) {
        String code = refusal.code();
        String reason = refusal.reason();
        boolean retryable =
                code.equals(ErrorCode.OVERLOAD.name()) || code.equals(ErrorCode.BUSY.name());
        String hint = "retry-after-ms=" + refusal.retryAfterMillis() + " ";
        int length = Math.min(reason.length(), SessionSettings.MAX_ERROR_TEXT_BYTES);
        String text = reason.substring(0, length);
        return StatementMessage.of(MessageKind.ERROR, code, retryable ? hint + text : text);
    }

    /** Returns the error for a statement in a failed transaction; none for a rollback. */
    static Option<String> errorAfterFailure(Statement statement) {
        if (statement instanceof Statement.Rollback) {
            return Option.none();
        }
        return Option.some(
                statement instanceof Statement.Commit
                        ? ErrorCode.ABORTED.name()
                        : ErrorCode.MALFORMED.name());
    }

    /** Returns the message that ends an answer. */
    static StatementMessage ready(String transactionState, String position) {
        return StatementMessage.of(MessageKind.READY, transactionState, position);
    }
}
