package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.endpoint.EndpointCall;

/** An output of {@link ControlCore}; the host executes actions in the given order. */
public sealed interface ControlAction {
    /** Proposes a command to the replicated log. */
    record Propose(ControlCommand command) implements ControlAction {}

    /**
     * Sends a request to an endpoint over an administrative connection.
     *
     * @param call identifier that is returned with the answer or failure
     */
    record CallEndpoint(
            long call, String group, String endpoint, String address, EndpointCall request)
            implements ControlAction {}

    /** Sends the answer to a proxy's report. */
    record AnswerProxy(ControlUpdate update) implements ControlAction {}

    /** Sends the answer to an operator's request. */
    record AnswerOperator(OperatorAnswer answer) implements ControlAction {}
}
