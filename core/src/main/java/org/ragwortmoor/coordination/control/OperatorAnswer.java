package org.ragwortmoor.coordination.control;

import java.util.List;

/**
 * The answer to an {@link OperatorRequest}.
 *
 * @param operationId id of the operation
 * @param kind whether the result is final
 * @param result outcome of a decided operation; for the other kinds a refusal with the reason
 * @param waitingFor proxies that have not prepared the rule file yet, if it is pending
 */
public record OperatorAnswer(
        String operationId, Kind kind, CommandResult result, List<String> waitingFor) {
    /** Kinds of answers. */
    public enum Kind {
        /** The operation was decided; see the result. */
        DECIDED,
        /** The request is invalid; nothing was recorded. */
        INVALID,
        /**
         * This process is not a ready leader; the request must be sent to another control process.
         */
        NOT_READY,
        /** The outcome is unknown; the request may be retried with the same operation id. */
        UNKNOWN
    }

    /** Copies the list. */
    public OperatorAnswer {
        waitingFor = List.copyOf(waitingFor);
    }
}
