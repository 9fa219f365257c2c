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
 * Connections to endpoints. All methods return at once and can be called from any thread; results
 * reach the listener through the executor.
 */
public final class EndpointTransport implements AutoCloseable {
    /** Exchange of the {@code Hello} that opens each connection; callers must not use it. */
    public static final long HELLO_EXCHANGE = 0;

    private final TransportSettings settings;
    private final EventLoopGroup loops;
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
        this.loops = Channels.loops(settings);
        this.executor = executor;
        this.listener = listener;
        this.metrics = metrics;
    }

    /**
     * Opens a connection; {@code opened} or {@code openFailed} follows unless it is closed before.
     *
     * @param address IP number and port of the endpoint
     * @param connection identifier, never used before
     * @param client name by which the endpoint knows this process
     * @param administrative whether the connection serves fencing and promotion only
     */
    public void open(String address, long connection, String client, boolean administrative) {
        Option<InetSocketAddress> target = Channels.parse(address);
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
                        new Events(connection),
                        metrics);
        if (connections.putIfAbsent(connection, channel) != null) {
            executor.execute(
                    () -> listener.openFailed(connection, "connection identifier is in use"));
            return;
        }
        channel.connecting(Channels.connect(loops, settings, target.get(), channel));
        if (connections.get(connection) != channel) {
            channel.close();
        }
    }

    /**
     * Sends a call. If the connection is not open, the call is dropped: {@code lost} has come or is
     * coming. A call that exceeds the frame limit is answered with {@code BAD_REQUEST} and was not
     * sent.
     *
     * @param exchange identifier that the answer carries, positive and unique on the connection
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

    /** Closes a connection; nothing follows for it but callbacks that are already on their way. */
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

    /** Closes all connections without callbacks. */
    @Override
    public void close() {
        connections.keySet().forEach(this::close);
        Channels.shutdown(loops);
    }

    /** Hands the events of one connection to the executor, as long as it is not closed. */
    private final class Events implements EndpointChannel.Events {
        private final long connection;

        Events(long connection) {
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
