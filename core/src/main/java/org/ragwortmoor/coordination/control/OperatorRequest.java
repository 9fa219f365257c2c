package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.EndpointInfo;

/**
 * A change requested by an operator; requests with the same operation id are applied at most once.
 */
public sealed interface OperatorRequest {
    /** Returns the identifier, operator and time of the operation. */
    Operation operation();

    /**
     * Identifies an operation.
     *
     * @param id chosen by the operator's tool and reused for retries
     * @param operator name of the operator
     * @param timeMillis wall-clock time in milliseconds, for display only
     */
    record Operation(String id, String operator, long timeMillis) {}

    /** Applies a rule file that is based on {@code expectedVersion}. */
    record Apply(Operation operation, long expectedVersion, String text)
            implements OperatorRequest {}

    /** Withdraws the pending rule file. */
    record Withdraw(Operation operation, long version) implements OperatorRequest {}

    /** Starts or ends the drain of an endpoint, which gets no new work meanwhile. */
    record Drain(Operation operation, String group, String endpoint, boolean drained)
            implements OperatorRequest {}

    /** Removes a proxy that is stopped permanently. */
    record RemoveMember(Operation operation, String proxy) implements OperatorRequest {}

    /** Replaces an endpoint without proof that the new endpoint holds the log. */
    record Replace(Operation operation, String group, String replaced, EndpointInfo info)
            implements OperatorRequest {}

    /** Adds a key for session tokens. */
    record AddKey(Operation operation, TokenKey key) implements OperatorRequest {}
}
