package org.ragwortmoor.transport;

import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;

/** Receives messages from other processes, on the executor of the transport. */
public interface PeerListener {
    /** A message arrived; {@code reply} sends on the connection by which it came. */
    void received(PeerEnvelope message, Reply reply);

    /**
     * A message arrived from a peer that this process connected to.
     *
     * @param address address under which the peer was connected
     */
    default void receivedFrom(String address, PeerEnvelope message, Reply reply) {
        received(message, reply);
    }

    /** Sends a message back. */
    interface Reply {
        /** Sends a message; it is dropped if the connection has been closed. */
        void send(PeerBody body);
    }
}
