package org.ragwortmoor.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens a listening socket before the server that accepts connections on it is created.
 *
 * <p>A process takes some tenths of a second to start. If the socket is open from the beginning,
 * callers that connect meanwhile wait for the greeting; otherwise their connections are refused and
 * they use up their retries.
 */
public final class ListeningSocket {
    /** Large enough for all callers to reconnect at once after a failure. */
    private static final int ACCEPT_BACKLOG = 1024;

    private ListeningSocket() {}

    /**
     * Opens and binds a non-blocking listening socket.
     *
     * @throws IOException if the address cannot be bound
     */
    public static ServerSocketChannel open(InetSocketAddress address) throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.configureBlocking(false);
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            return socket.bind(address, ACCEPT_BACKLOG);
        } catch (IOException e) {
            socket.close();
            throw new IOException("cannot listen on " + address, e);
        }
    }
}
