package org.ragwortmoor.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;

/** Accepts connections from other processes and exchanges messages on them. */
public final class PeerServer implements AutoCloseable {
    private final TransportSettings settings;
    private final EventLoopGroup eventLoops;
    private final boolean ownsEventLoops;
    private final Executor executor;
    private final PeerListener listener;
    private final TransportMetrics metrics;
    private final ConnectionGuard guard;
    private final PeerFrameEncoder encoder;
    private final Channel listeningChannel;
    private final ChannelGroup acceptedChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<String, PeerChannel> latestChannelBySender = new ConcurrentHashMap<>();

    /**
     * Opens the listening socket of a server that runs on event loops of its own.
     *
     * @param port port to listen on; 0 for an ephemeral port
     * @param self identifier of this process, sent with each message
     * @param executor runs the calls to the listener
     * @param guard limits the connections
     * @throws IOException if the port cannot be bound
     */
    public PeerServer(
            TransportSettings settings,
            int port,
            String self,
            Executor executor,
            PeerListener listener,
            TransportMetrics metrics,
            ConnectionGuard guard)
            throws IOException {
        this(
                settings,
                port,
                self,
                Channels.newEventLoops(settings),
                true,
                executor,
                listener,
                metrics,
                guard);
    }

    private PeerServer(
            TransportSettings settings,
            int port,
            String self,
            EventLoopGroup eventLoops,
            boolean ownsEventLoops,
            Executor executor,
            PeerListener listener,
            TransportMetrics metrics,
            ConnectionGuard guard)
            throws IOException {
        this.settings = settings;
        this.eventLoops = eventLoops;
        this.ownsEventLoops = ownsEventLoops;
        this.executor = executor;
        this.listener = listener;
        this.metrics = metrics;
        this.guard = guard;
        this.encoder = new PeerFrameEncoder(self, settings, metrics);
        ChannelFuture bindFuture = bind(port);
        if (!bindFuture.isSuccess()) {
            shutdownOwnedLoops();
            throw new IOException(
                    "cannot listen on " + settings.localHost() + ":" + port, bindFuture.cause());
        }
        this.listeningChannel = bindFuture.channel();
    }

    /**
     * Opens the listening socket of a server that runs on event loops of the caller and leaves them
     * open when it is closed.
     *
     * @param eventLoops group with a single loop, on which the listener is called too
     * @param guard limits the connections
     * @throws IOException if the port cannot be bound
     */
    public static PeerServer onSharedLoop(
            TransportSettings settings,
            int port,
            String self,
            EventLoopGroup eventLoops,
            PeerListener listener,
            TransportMetrics metrics,
            ConnectionGuard guard)
            throws IOException {
        return new PeerServer(
                settings,
                port,
                self,
                eventLoops,
                false,
                eventLoops.next(),
                listener,
                metrics,
                guard);
    }

    private void shutdownOwnedLoops() {
        if (ownsEventLoops) {
            Channels.shutdown(eventLoops);
        }
    }

    private ChannelFuture bind(int port) {
        return new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        Channels.writeBufferWaterMark(settings))
                .childHandler(
                        Channels.initializer(
                                settings.frameLimits(),
                                guard,
                                () ->
                                        new PeerChannel(
                                                "unknown",
                                                new PeerQueue(settings.queueCapacity()),
                                                true,
                                                new ConnectionEvents(),
                                                metrics)))
                .bind(settings.localHost(), port)
                .awaitUninterruptibly();
    }

    /** Returns the bound port. */
    public int port() {
        return ((InetSocketAddress) listeningChannel.localAddress()).getPort();
    }

    /** Returns the identifiers of the peers with an open connection. */
    public Set<String> peers() {
        return Set.copyOf(latestChannelBySender.keySet());
    }

    /**
     * Sends a message on the connection that the peer used last.
     *
     * @return false if the peer has no open connection or the message exceeds the frame limit
     */
    public boolean send(String peer, PeerBody body) {
        PeerChannel channel = latestChannelBySender.get(peer);
        return channel != null && reply(peer, channel, body);
    }

    private boolean reply(String peer, PeerChannel channel, PeerBody body) {
        return encoder.encode(peer, body).peek(channel::offer).isDefined();
    }

    @Override
    public void close() {
        listeningChannel.close().awaitUninterruptibly();
        acceptedChannels
                .close()
                .awaitUninterruptibly(Channels.SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        shutdownOwnedLoops();
    }

    private final class ConnectionEvents implements PeerChannel.Events {
        private String sender = "";

        @Override
        public void opened(PeerChannel channel) {
            channel.addTo(acceptedChannels);
        }

        @Override
        public void received(PeerChannel channel, PeerEnvelope message) {
            sender = message.sender();
            latestChannelBySender.put(sender, channel);
            executor.execute(
                    () ->
                            listener.received(
                                    message, body -> reply(message.sender(), channel, body)));
        }

        @Override
        public void closed(PeerChannel channel) {
            latestChannelBySender.remove(sender, channel);
        }
    }
}
