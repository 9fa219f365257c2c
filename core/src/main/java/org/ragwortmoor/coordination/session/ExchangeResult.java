package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;

/** How a statement on a server connection ended. */
sealed interface ExchangeResult {
    /** The transaction state of a connection outside a transaction. */
    String IDLE = "I";

    /** The transaction state of a connection inside a transaction. */
    String IN_TRANSACTION = "T";

    /** The transaction state of a connection whose transaction has failed. */
    String FAILED_TRANSACTION = "E";

    /** The signature of answers that no server log entry or read stands behind. */
    String UNSIGNED = "-";

    /** The statement succeeded. */
    record Completed(List<String> rows, String signature, String state, Option<Position> position)
            implements ExchangeResult {
        boolean signed() {
            return !signature.equals(UNSIGNED);
        }
    }

    /** The server refused or failed the statement. */
    record Failed(String code, String text, String state, Option<Position> position)
            implements ExchangeResult {}

    /** The connection ended, or the answer did not come in time. */
    record Lost(String reason) implements ExchangeResult {}
}
