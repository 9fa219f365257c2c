package org.ragwortmoor.coordination.control;

import java.util.List;

/**
 * The answer to an {@link OperatorRequest}.
 *
 * @param operationId the operation
 * @param kind whether the result is final
 * @param result what the operation did; for the other kinds a refusal with the reason
 * @param waitingFor with a pending rule file, the proxies that have not prepared it
 */
public record OperatorAnswer(
        String operationId, Kind kind, CommandResult result, List<String> waitingFor) {
    /** Kinds of answers. */
    public enum Kind {
        /** The operation was decided; the result says how. */
        DECIDED,
        /** The request is wrong; nothing was recorded. */
        INVALID,
        /** This member is no ready leader; send the request to another one. */
        NOT_READY,
        /** The outcome is unknown; resend with the same operation id. */
        UNKNOWN
    }

    /** Copies the list. */
    public OperatorAnswer {
        waitingFor = List.copyOf(waitingFor);
    }
}
