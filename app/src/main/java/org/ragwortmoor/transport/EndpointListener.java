package org.ragwortmoor.transport;

import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/**
 * Receives what happens on connections to endpoints. Calls come on the executor of the transport;
 * for one connection they come in order if the executor runs its tasks in order.
 */
public interface EndpointListener {
    /** A connection is open: its {@code Hello} was answered. */
    void opened(long connection, EndpointStatus status);

    /** A connection could not be opened; nothing follows for it. */
    void openFailed(long connection, String reason);

    /** An open connection has failed; nothing follows for it. */
    void lost(long connection, String reason);

    /** An answer arrived; it can be late, repeated or belong to any earlier exchange. */
    void answered(long connection, long exchange, EndpointAnswer answer);
}
