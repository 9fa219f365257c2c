package org.ragwortmoor.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import org.ragwortmoor.coordination.session.CallerSession;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.protocol.StatementCodec;
import org.ragwortmoor.state.statement.StatementMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts callers of the statement protocol. Sessions run on the event loop of the channels. */
public final class StatementServer implements AutoCloseable {
    /** Unwritten bytes of one caller from which its statements are no longer read. */
    private static final int WRITE_BYTES = 256 << 10;

    private static final Logger LOG = LoggerFactory.getLogger(StatementServer.class);

    private final Channel socket;

    /**
     * Starts to accept.
     *
     * @param loops the event loop group; it has one loop, on which the sessions run
     * @param listening the bound socket, which the server closes
     * @param accept starts a session for a caller's connection
     * @throws IOException if the socket cannot be used
     */
    public StatementServer(
            EventLoopGroup loops,
            ServerSocketChannel listening,
            Function<SessionHost.CallerLink, CallerSession> accept)
            throws IOException {
        var accepting =
                new ServerBootstrap()
                        .group(loops)
                        .channelFactory(() -> new NioServerSocketChannel(listening))
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(WRITE_BYTES / 2, WRITE_BYTES))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(StatementLines.decoder())
                                                .addLast(new Caller(channel, accept));
                                    }
                                })
                        .register()
                        .awaitUninterruptibly();
        if (!accepting.isSuccess()) {
            throw new IOException("cannot accept on " + listening, accepting.cause());
        }
        socket = accepting.channel();
    }

    @Override
    public void close() {
        socket.close();
    }

    private static final class Caller extends SimpleChannelInboundHandler<ByteBuf>
            implements SessionHost.CallerLink {
        private final Channel channel;
        private final CallerSession session;

        Caller(Channel channel, Function<SessionHost.CallerLink, CallerSession> accept) {
            this.channel = channel;
            this.session = accept.apply(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            StatementCodec.decode(line.toString(StandardCharsets.UTF_8))
                    .peek(session::received)
                    .peekLeft(session::malformed);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            channel.config().setAutoRead(channel.isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            session.disconnected();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                session.malformed("a message is longer than 1 MiB");
            } else if (!(cause instanceof IOException)) {
                LOG.error("event=session_failed", cause);
            }
            channel.close();
        }

        @Override
        public void send(List<StatementMessage> messages) {
            StatementLines.write(channel, messages);
        }

        @Override
        public void close() {
            StatementLines.closeAfterWrites(channel);
        }
    }
}
