package org.ragwortmoor.daemon;

import org.ragwortmoor.state.endpoint.EndpointCall;

/** The connections to endpoints, as a {@link GroupHost} uses them. No method blocks. */
interface EndpointPort {
    /** Opens a connection and reports the result to the host as an event. */
    void open(GroupHost host, String endpoint, String address, long connection);

    /** Closes a connection; nothing is reported about it afterwards. */
    void close(GroupHost host, long connection);

    /** Sends a call on an open connection. */
    void send(GroupHost host, long connection, long exchange, EndpointCall call);
}
