package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * A call that waits for its answer.
 *
 * @param id identifier, unique within the engine
 * @param sequence number that orders the sending of calls within the engine
 * @param sentAt time of sending
 */
record Exchange(long id, long sequence, long sentAt, EndpointCall call, Handler handler) {
    /** Receives the outcome of a call: exactly one of the two methods is called, once. */
    interface Handler {
        void answered(EndpointAnswer answer);

        /** The connection ended without an answer; the call may have been executed. */
        void lost(String reason);
    }

    /** Returns whether the answer is of a type that the call can have. */
    boolean accepts(EndpointAnswer answer) {
        if (answer instanceof EndpointAnswer.Refused) {
            return true;
        }
        if (call.outOfBand()) {
            return answer instanceof EndpointAnswer.StatusReport;
        }
        if (call instanceof EndpointCall.Begin) {
            return answer instanceof EndpointAnswer.Began;
        }
        if (call instanceof EndpointCall.Reset) {
            return answer instanceof EndpointAnswer.ResetDone;
        }
        if (call instanceof EndpointCall.Resolve) {
            return answer instanceof EndpointAnswer.Resolved;
        }
        return answer instanceof EndpointAnswer.Result;
    }
}
