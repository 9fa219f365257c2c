package org.ragwortmoor.coordination.engine;

import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * A call that was sent and has not been answered.
 *
 * @param id identifier, unique within the engine
 * @param sequence sequence number of the call in the order of sending within the engine
 * @param sentAt time of sending
 */
record Exchange(long id, long sequence, long sentAt, EndpointCall call, Handler handler) {
    /** Receives the outcome of a call. Exactly one of the two methods is called, once. */
    interface Handler {
        void onAnswer(EndpointAnswer answer);

        /** The connection ended before an answer arrived; the call may have been executed. */
        void onConnectionLost(String reason);
    }

    /** Returns whether the type of the answer is valid for the call. */
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
