package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;

/** Result of a forwarded statement. */
public sealed interface ForwardedResult {
    /**
     * The statement succeeded.
     *
     * @param rows rows of the answer
     * @param signature signature of the server
     * @param position log position of the server, if it returned one
     * @param lastCommit log position that later reads of the session must see, if any
     * @param server server that executed the statement
     */
    record Succeeded(
            List<String> rows,
            String signature,
            Option<Position> position,
            Option<Position> lastCommit,
            String server)
            implements ForwardedResult {
        /** Copies the rows. */
        public Succeeded {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The statement failed with an error for the caller; a transaction has failed with it.
     *
     * @param retryAfterMillis delay that the caller is told if the error is retryable
     */
    record Failed(String code, String reason, String server, int retryAfterMillis)
            implements ForwardedResult {}

    /** The statement was not sent to a server; another proxy may execute it. */
    record Declined(String reason) implements ForwardedResult {
        /** Reason of a proxy whose connections are all in use; other holders may have free ones. */
        public static final String CONNECTIONS_USED_UP = "all connections are in use";

        boolean connectionsUsedUp() {
            return reason.equals(CONNECTIONS_USED_UP);
        }
    }

    /** The link was lost before the answer arrived; the statement may have been executed. */
    record Lost(String reason) implements ForwardedResult {}
}
