package org.ragwortmoor.transport;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;

/**
 * Connections to endpoints. All methods are non-blocking and thread-safe; the listener is called on
 * the executor.
 */
public final class EndpointTransport implements AutoCloseable {
    /** Exchange identifier reserved for the {@code Hello} that opens each connection. */
    public static final long HELLO_EXCHANGE = 0;

    private final TransportSettings settings;
    private final EventLoopGroup eventLoops;
    private final Executor executor;
    private final EndpointListener listener;
    private final TransportMetrics metrics;
    private final Map<Long, EndpointChannel> connections = new ConcurrentHashMap<>();

    /**
     * Creates a transport without connections.
     *
     * @param executor runs the calls to the listener
     */
    public EndpointTransport(
            TransportSettings settings,
            Executor executor,
            EndpointListener listener,
            TransportMetrics metrics) {
        this.settings = settings;
        this.eventLoops = Channels.newEventLoops(settings);
        this.executor = executor;
        this.listener = listener;
        this.metrics = metrics;
    }

    /**
     * Opens a connection. The listener's {@code opened} or {@code openFailed} is called unless the
     * connection is closed first.
     *
     * @param address IPv4 address and port of the endpoint
     * @param connection identifier of the connection, never reused
     * @param client name of this process at the endpoint
     * @param administrative whether the connection is only for fencing and promotion
     */
    public void open(String address, long connection, String client, boolean administrative) {
        Option<InetSocketAddress> target = Channels.parseIpv4Address(address);
        if (target.isEmpty()) {
            metrics.error(address, "bad_address");
            executor.execute(
                    () -> listener.openFailed(connection, "not an IP number and port: " + address));
            return;
        }
        EndpointChannel channel =
                new EndpointChannel(
                        address,
                        new EndpointCall.Hello(client, administrative),
                        settings,
                        new ConnectionEvents(connection),
                        metrics);
        if (connections.putIfAbsent(connection, channel) != null) {
            executor.execute(
                    () -> listener.openFailed(connection, "connection identifier is in use"));
            return;
        }
        channel.watchConnect(Channels.connect(eventLoops, settings, target.get(), channel));
        if (connections.get(connection) != channel) {
            channel.close();
        }
    }

    /**
     * Sends a call. A call on a connection that is not open is dropped; the listener's {@code lost}
     * has been or will be called for it. A call that exceeds the frame limit is not sent but
     * answered with {@code BAD_REQUEST}.
     *
     * @param exchange identifier that the answer returns, positive and unique per connection
     */
    public void send(long connection, long exchange, EndpointCall call) {
        EndpointChannel channel = connections.get(connection);
        if (channel == null) {
            return;
        }
        byte[] frame = EndpointCodec.frame(exchange, call).toByteArray();
        Option<ProtocolError> tooLarge = settings.frameLimits().check(frame.length);
        if (tooLarge.isDefined()) {
            metrics.error(channel.address(), "call_too_large");
            EndpointAnswer refused =
                    new EndpointAnswer.Refused(
                            RefusalKind.BAD_REQUEST, tooLarge.get().message(), 0, 0);
            executor.execute(() -> listener.answered(connection, exchange, refused));
            return;
        }
        channel.send(frame);
    }

    /** Closes a connection. Only callbacks already handed to the executor still run for it. */
    public void close(long connection) {
        EndpointChannel channel = connections.remove(connection);
        if (channel != null) {
            channel.close();
        }
    }

    /** Returns the number of connections that are open or being opened. */
    public int connections() {
        return connections.size();
    }

    /** Closes all connections without calling the listener. */
    @Override
    public void close() {
        connections.keySet().forEach(this::close);
        Channels.shutdown(eventLoops);
    }

    /** Passes the events of one connection to the executor until the connection is closed. */
    private final class ConnectionEvents implements EndpointChannel.Events {
        private final long connection;

        ConnectionEvents(long connection) {
            this.connection = connection;
        }

        @Override
        public void opened(EndpointStatus status) {
            if (connections.containsKey(connection)) {
                executor.execute(() -> listener.opened(connection, status));
            }
        }

        @Override
        public void failed(boolean wasOpen, String reason) {
            if (connections.remove(connection) == null) {
                return;
            }
            executor.execute(
                    () -> {
                        if (wasOpen) {
                            listener.lost(connection, reason);
                        } else {
                            listener.openFailed(connection, reason);
                        }
                    });
        }

        @Override
        public void answered(long exchange, EndpointAnswer answer) {
            if (connections.containsKey(connection)) {
                executor.execute(() -> listener.answered(connection, exchange, answer));
            }
        }
    }
}
