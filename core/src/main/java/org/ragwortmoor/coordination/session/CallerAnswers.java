package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.StatementMessage;

/** Messages that answer a caller's statement. */
final class CallerAnswers {
    private CallerAnswers() {}

    /** Returns a server's answer, unchanged but for the transaction state. */
    static List<StatementMessage> served(
            ExchangeResult.Completed completed, String transactionState) {
        List<StatementMessage> messages = new ArrayList<>();
        completed.rows().forEach(row -> messages.add(StatementMessage.of(MessageKind.ROW, row)));
        messages.add(StatementMessage.of(MessageKind.COMPLETE, completed.signature()));
        messages.add(ready(transactionState, PositionField.format(completed.position())));
        return messages;
    }

    /** Returns the success of a statement that the proxy has served itself. */
    static List<StatementMessage> own(String transactionState) {
        return List.of(
                StatementMessage.of(MessageKind.COMPLETE, ExchangeResult.UNSIGNED),
                ready(transactionState, PositionField.NONE));
    }

    /** Returns an error; one for want of room says when to come back. */
    static List<StatementMessage> error(String code, String reason, String transactionState) {
        boolean waits =
                code.equals(ErrorCode.OVERLOAD.name()) || code.equals(ErrorCode.BUSY.name());
        String hint = "retry-after-ms=" + SessionSettings.RETRY_AFTER_MILLIS + " ";
        return List.of(
                StatementMessage.of(MessageKind.ERROR, code, waits ? hint + reason : reason),
                ready(transactionState, PositionField.NONE));
    }

    /** Returns the end of an answer. */
    static StatementMessage ready(String transactionState, String position) {
        return StatementMessage.of(MessageKind.READY, transactionState, position);
    }
}
