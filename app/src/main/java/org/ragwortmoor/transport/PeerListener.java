package org.ragwortmoor.transport;

import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;

/** Receives messages from other processes, on the executor of the transport. */
public interface PeerListener {
    /** A message arrived; {@code reply} sends on the connection by which it came. */
    void received(PeerEnvelope message, Reply reply);

    /** Sends a message back. */
    interface Reply {
        /** Sends a message; it is dropped if the connection has been closed. */
        void send(PeerBody body);
    }
}
