package org.ragwortmoor.transport;

import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;

/** Receives messages from other processes. Called on the executor of the transport. */
public interface PeerListener {
    /** Called for each message; {@code reply} sends on the connection that it arrived on. */
    void received(PeerEnvelope message, Reply reply);

    /**
     * Called for each message on a connection that this process opened.
     *
     * @param address address that this process connected to
     */
    default void receivedFrom(String address, PeerEnvelope message, Reply reply) {
        received(message, reply);
    }

    /** Sends messages on the connection that a message arrived on. */
    interface Reply {
        /** Sends a message, or drops it if the connection has been closed. */
        void send(PeerBody body);
    }
}
