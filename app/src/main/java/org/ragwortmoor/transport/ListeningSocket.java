package org.ragwortmoor.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens a listening socket before the server that accepts on it exists.
 *
 * <p>A process needs some tenths of a second to start. With the socket open from the first moment,
 * callers wait for the greeting; without it they are refused and use up their attempts.
 */
public final class ListeningSocket {
    /** Connections that may wait to be accepted; callers reconnect together after a failure. */
    private static final int BACKLOG = 1024;

    private ListeningSocket() {}

    /**
     * Starts to listen.
     *
     * @throws IOException if the address is taken
     */
    public static ServerSocketChannel open(InetSocketAddress address) throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.configureBlocking(false);
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            return socket.bind(address, BACKLOG);
        } catch (IOException e) {
            socket.close();
            throw new IOException("cannot listen on " + address, e);
        }
    }
}
