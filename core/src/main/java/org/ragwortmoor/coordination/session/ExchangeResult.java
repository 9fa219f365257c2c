package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;

/** Result of a statement on a server connection. */
sealed interface ExchangeResult {
    /** The transaction state of a connection outside a transaction. */
    String IDLE = "I";

    /** The transaction state of a connection inside a transaction. */
    String IN_TRANSACTION = "T";

    /** The transaction state of a connection whose transaction has failed. */
    String FAILED_TRANSACTION = "E";

    /** The signature of answers that are not backed by a log entry or read of the server. */
    String UNSIGNED = "-";

    /** The statement succeeded. */
    record Completed(List<String> rows, String signature, String state, Option<Position> position)
            implements ExchangeResult {}

    /** The server answered the statement with an error. */
    record Failed(String code, String text, String state, Option<Position> position)
            implements ExchangeResult {}

    /** The connection was lost, or no answer arrived before the deadline. */
    record Lost(String reason) implements ExchangeResult {}
}
