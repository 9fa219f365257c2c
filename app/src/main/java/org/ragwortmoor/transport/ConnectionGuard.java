package org.ragwortmoor.transport;

import io.netty.channel.Channel;
import io.vavr.control.Option;
import org.ragwortmoor.coordination.callers.OpenConnections;

/**
 * Closes connections of one interface beyond its limits. Its channels may be on several event
 * loops.
 */
public final class ConnectionGuard {
    private final String interfaceName;
    private final OpenConnections<Channel> connections;
    private final LimitListener listener;

    /**
     * Creates a guard without connections.
     *
     * @param interfaceName name of the interface, for metrics and log lines
     * @param maxConnections maximum number of connections
     * @param maxBytes maximum number of bytes that incomplete requests of all connections hold
     */
    public ConnectionGuard(
            String interfaceName, int maxConnections, long maxBytes, LimitListener listener) {
        this.interfaceName = interfaceName;
        this.connections = new OpenConnections<>(maxConnections, maxBytes);
        this.listener = listener;
    }

    /** Returns a guard without limits. */
    public static ConnectionGuard unlimited() {
        return new ConnectionGuard("", Integer.MAX_VALUE, Long.MAX_VALUE, LimitListener.none());
    }

    synchronized void opened(Channel channel) {
        close(connections.open(channel), "connections");
    }

    /** A request or frame of the channel is complete. */
    synchronized void requested(Channel channel) {
        connections.requested(channel);
    }

    /** Incomplete requests or frames of the channel hold this number of bytes. */
    synchronized void holds(Channel channel, long bytes) {
        close(connections.hold(channel, bytes), "bytes");
    }

    synchronized void closed(Channel channel) {
        connections.remove(channel);
    }

    private void close(Option<Channel> closing, String limit) {
        closing.forEach(
                channel -> {
                    listener.closed(channel.remoteAddress(), interfaceName, limit);
                    channel.config().setAutoRead(false);
                    channel.close();
                });
    }
}
