package org.ragwortmoor.transport;

import java.net.SocketAddress;

/** Is told when a connection is closed or not read because of a limit. */
public interface LimitListener {
    /**
     * A connection is being closed.
     *
     * @param peer address from which the connection came
     * @param interfaceName interface of the process that it came to
     * @param limit limit that was reached, in the form of a label
     */
    void closed(SocketAddress peer, String interfaceName, String limit);

    /** A connection is not read until it holds less, or all of them do. */
    default void paused(String interfaceName) {}

    /** Returns a listener that does nothing. */
    static LimitListener none() {
        return (peer, interfaceName, limit) -> {};
    }
}
