package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.EndpointInfo;

/** A change that an operator asks for; repeated with the same id it is made once. */
public sealed interface OperatorRequest {
    /** Returns the identifier, operator and time of the operation. */
    Operation operation();

    /**
     * Identifies an operation.
     *
     * @param id chosen by the operator's tool and kept for resends
     * @param operator name of the operator
     * @param timeMillis wall-clock time in milliseconds, for display only
     */
    record Operation(String id, String operator, long timeMillis) {}

    /** Puts a rule file in force that is based on {@code expectedVersion}. */
    record Apply(Operation operation, long expectedVersion, String text)
            implements OperatorRequest {}

    /** Gives up the pending rule file. */
    record Withdraw(Operation operation, long version) implements OperatorRequest {}

    /** Keeps new work away from an endpoint, or ends that. */
    record Drain(Operation operation, String group, String endpoint, boolean drained)
            implements OperatorRequest {}

    /** Removes a proxy that is stopped for good. */
    record RemoveMember(Operation operation, String proxy) implements OperatorRequest {}

    /** Puts an endpoint in the place of another without proof that it holds the log. */
    record Replace(Operation operation, String group, String replaced, EndpointInfo info)
            implements OperatorRequest {}

    /** Adds a token key. */
    record AddKey(Operation operation, TokenKey key) implements OperatorRequest {}
}
