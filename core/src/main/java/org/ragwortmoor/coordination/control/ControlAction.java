package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.endpoint.EndpointCall;

/** An output of {@link ControlCore}, carried out by its host in the given order. */
public sealed interface ControlAction {
    /** Proposes a command to the replicated log. */
    record Propose(ControlCommand command) implements ControlAction {}

    /**
     * Calls an endpoint on an administrative connection.
     *
     * @param call identifier that the answer or failure carries
     */
    record CallEndpoint(
            long call, String group, String endpoint, String address, EndpointCall request)
            implements ControlAction {}

    /** Answers a proxy's report. */
    record AnswerProxy(ControlUpdate update) implements ControlAction {}

    /** Answers an operator. */
    record AnswerOperator(OperatorAnswer answer) implements ControlAction {}
}
