package org.ragwortmoor.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Function;
import org.ragwortmoor.coordination.callers.CallerLimits;
import org.ragwortmoor.coordination.session.CallerSession;
import org.ragwortmoor.coordination.session.SessionHost;

/** Serves the statement protocol. Sessions run on the event loop of their channels. */
public final class StatementServer implements AutoCloseable {
    /**
     * Unwritten bytes at which the limit of a session is checked at once; between checks it is only
     * checked periodically.
     */
    private static final int WRITE_BUFFER_HIGH_WATER_BYTES = 256 << 10;

    private final Channel listeningChannel;

    /**
     * Registers the listening socket with the event loop and starts accepting connections.
     *
     * @param loops event loop group with a single loop, on which the sessions run
     * @param listeningSocket bound socket; closed by the server
     * @param sessionFactory creates the session of a new connection
     * @throws IOException if the socket cannot be registered
     */
    public StatementServer(
            EventLoopGroup loops,
            ServerSocketChannel listeningSocket,
            Function<SessionHost.CallerLink, CallerSession> sessionFactory)
            throws IOException {
        this(
                loops,
                listeningSocket,
                new CallerGuard(CallerLimits.unlimited(), LimitListener.none()),
                sessionFactory);
    }

    /**
     * Registers the listening socket with the event loop and starts accepting connections.
     *
     * @param loops event loop group with a single loop, on which the sessions run
     * @param listeningSocket bound socket; closed by the server
     * @param guard limits the callers
     * @param sessionFactory creates the session of a new connection
     * @throws IOException if the socket cannot be registered
     */
    public StatementServer(
            EventLoopGroup loops,
            ServerSocketChannel listeningSocket,
            CallerGuard guard,
            Function<SessionHost.CallerLink, CallerSession> sessionFactory)
            throws IOException {
        var registration =
                new ServerBootstrap()
                        .group(loops)
                        .channelFactory(() -> new NioServerSocketChannel(listeningSocket))
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        WRITE_BUFFER_HIGH_WATER_BYTES / 2,
                                        WRITE_BUFFER_HIGH_WATER_BYTES))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        CallerConnection connection =
                                                new CallerConnection(
                                                        channel, guard, sessionFactory);
                                        channel.pipeline()
                                                .addLast(StatementLines.decoder(connection))
                                                .addLast(connection);
                                    }
                                })
                        .register()
                        .awaitUninterruptibly();
        if (!registration.isSuccess()) {
            throw new IOException("cannot accept on " + listeningSocket, registration.cause());
        }
        listeningChannel = registration.channel();
    }

    @Override
    public void close() {
        listeningChannel.close();
    }
}
