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

/** Accepts connections of other processes and exchanges messages with them. */
public final class PeerServer implements AutoCloseable {
    private final TransportSettings settings;
    private final EventLoopGroup loops;
    private final Executor executor;
    private final PeerListener listener;
    private final TransportMetrics metrics;
    private final PeerFrames frames;
    private final Channel socket;
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<String, PeerChannel> newest = new ConcurrentHashMap<>();

    /**
     * Starts to listen.
     *
     * @param port port to listen on; 0 for any free one
     * @param self identifier of this process, which its messages carry
     * @param executor runs the calls to the listener
     * @throws IOException if the port is taken
     */
    public PeerServer(
            TransportSettings settings,
            int port,
            String self,
            Executor executor,
            PeerListener listener,
            TransportMetrics metrics)
            throws IOException {
        this.settings = settings;
        this.loops = Channels.loops(settings);
        this.executor = executor;
        this.listener = listener;
        this.metrics = metrics;
        this.frames = new PeerFrames(self, settings, metrics);
        ChannelFuture bound = listen(port);
        if (!bound.isSuccess()) {
            Channels.shutdown(loops);
            throw new IOException(
                    "cannot listen on " + settings.localHost() + ":" + port, bound.cause());
        }
        this.socket = bound.channel();
    }

    private ChannelFuture listen(int port) {
        return new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Channels.waterMark(settings))
                .childHandler(
                        Channels.initializer(
                                settings.frameLimits(),
                                () ->
                                        new PeerChannel(
                                                "unknown",
                                                new PeerQueue(settings.queueLimit()),
                                                true,
                                                new Events(),
                                                metrics)))
                .bind(settings.localHost(), port)
                .awaitUninterruptibly();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return ((InetSocketAddress) socket.localAddress()).getPort();
    }

    /** Returns the senders that have an open connection. */
    public Set<String> peers() {
        return Set.copyOf(newest.keySet());
    }

    /**
     * Sends a message on the newest connection of a peer.
     *
     * @return false if the peer has no open connection or the message exceeds the frame limit
     */
    public boolean send(String peer, PeerBody body) {
        PeerChannel channel = newest.get(peer);
        return channel != null && reply(peer, channel, body);
    }

    private boolean reply(String peer, PeerChannel channel, PeerBody body) {
        return frames.encode(peer, body).peek(channel::offer).isDefined();
    }

    @Override
    public void close() {
        socket.close().awaitUninterruptibly();
        accepted.close().awaitUninterruptibly(Channels.CLOSE_SECONDS, TimeUnit.SECONDS);
        Channels.shutdown(loops);
    }

    private final class Events implements PeerChannel.Events {
        private String sender = "";

        @Override
        public void opened(PeerChannel channel) {
            channel.joinGroup(accepted);
        }

        @Override
        public void received(PeerChannel channel, PeerEnvelope message) {
            sender = message.sender();
            newest.put(sender, channel);
            executor.execute(
                    () ->
                            listener.received(
                                    message, body -> reply(message.sender(), channel, body)));
        }

        @Override
        public void closed(PeerChannel channel) {
            newest.remove(sender, channel);
        }
    }
}
