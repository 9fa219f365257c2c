package org.ragwortmoor.transport;

import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/**
 * Receives the events of connections to endpoints. Called on the executor of the transport; the
 * events of one connection are in order if the executor runs its tasks in order.
 */
public interface EndpointListener {
    /** Called when a connection is open, after the answer to its {@code Hello}. */
    void opened(long connection, EndpointStatus status);

    /** Called when a connection could not be opened, as its last event. */
    void openFailed(long connection, String reason);

    /** Called when an open connection has failed, as its last event. */
    void lost(long connection, String reason);

    /** Called for each answer, which may be late, repeated or for any earlier exchange. */
    void answered(long connection, long exchange, EndpointAnswer answer);
}
