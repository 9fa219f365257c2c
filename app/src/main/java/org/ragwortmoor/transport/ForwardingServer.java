package org.ragwortmoor.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.function.Function;
import org.ragwortmoor.coordination.session.ForwardedResult;
import org.ragwortmoor.coordination.session.ForwardedStatement;
import org.ragwortmoor.coordination.session.ForwardingSession;
import org.ragwortmoor.protocol.ForwardingCodec;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.ForwardingFrame;
import org.ragwortmoor.state.statement.ErrorCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts links from other proxies. Sessions run on the event loop of their channels. */
public final class ForwardingServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ForwardingServer.class);

    private final Channel listeningChannel;

    /**
     * Opens the listening socket.
     *
     * @param loops event loop group with a single loop, on which the sessions run
     * @param host IP address to listen on
     * @param port port to listen on
     * @param sessionFactory creates the session of a new link, given the name of the other proxy
     * @param relay passes on reports of other proxies
     * @param guard limits the links
     * @throws IOException if the port cannot be bound
     */
    public ForwardingServer(
            EventLoopGroup loops,
            String host,
            int port,
            Function<String, ForwardingSession> sessionFactory,
            ReportRelay relay,
            ConnectionGuard guard)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childHandler(
                                Channels.initializer(
                                        ForwardingFrames.LIMITS,
                                        guard,
                                        () -> new Link(sessionFactory, relay)))
                        .bind(host, port)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + host + ":" + port, bound.cause());
        }
        listeningChannel = bound.channel();
    }

    @Override
    public void close() {
        listeningChannel.close();
    }

    private static final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        private final Function<String, ForwardingSession> sessionFactory;
        private final ReportRelay relay;
        private ForwardingSession session;
        private String peer = "";

        Link(Function<String, ForwardingSession> sessionFactory, ReportRelay relay) {
            this.sessionFactory = sessionFactory;
            this.relay = relay;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            ForwardingFrames.read(bytes)
                    .peek(frame -> received(context.channel(), frame))
                    .peekLeft(error -> reject(context.channel(), error.toString()));
        }

        private void received(Channel channel, ForwardingFrame frame) {
            if (frame.hasHello() && session == null) {
                peer = frame.getHello();
                session = sessionFactory.apply(peer);
                return;
            }
            if (frame.hasPing()) {
                ForwardingFrames.write(
                        channel, ForwardingFrame.newBuilder().setPong(frame.getPing()).build());
                return;
            }
            if (session == null) {
                reject(channel, "the first frame must be a hello");
                return;
            }
            switch (frame.getBodyCase()) {
                case STATEMENT ->
                        ForwardingCodec.decode(frame.getStatement())
                                .peek(statement -> execute(channel, statement))
                                .peekLeft(error -> reject(channel, error.toString()));
                case END -> session.end(frame.getEnd());
                case REPORT ->
                        relay.report(
                                peer,
                                frame.getReport(),
                                update ->
                                        ForwardingFrames.write(
                                                channel,
                                                ForwardingFrame.newBuilder()
                                                        .setUpdate(update)
                                                        .build()));
                default -> reject(channel, "unexpected frame " + frame.getBodyCase());
            }
        }

        private void execute(Channel channel, ForwardedStatement statement) {
            session.execute(statement, result -> answer(channel, statement.stream(), result));
        }

        /** Sends a result, or an error that leaves the outcome open if the result is too large. */
        private void answer(Channel channel, long stream, ForwardedResult result) {
            ForwardingFrame frame = ForwardingCodec.encode(stream, result);
            Option<ProtocolError> tooLarge = ForwardingFrames.check(frame);
            if (tooLarge.isEmpty()) {
                ForwardingFrames.write(channel, frame);
                return;
            }
            session.end(stream);
            ForwardedResult failed =
                    new ForwardedResult.Failed(
                            ErrorCode.INDOUBT.name(), tooLarge.get().message(), "", 0);
            ForwardingFrames.write(channel, ForwardingCodec.encode(stream, failed));
        }

        private static void reject(Channel channel, String reason) {
            LOG.warn("event=link_rejected peer={} reason=\"{}\"", channel.remoteAddress(), reason);
            channel.close();
        }

        /** A proxy that does not read its answers is not read, beyond Netty's 64 KiB. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            context.channel().config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (session != null) {
                session.disconnected();
                session = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("event=link_failed peer={}", context.channel().remoteAddress(), cause);
            }
            context.close();
        }
    }
}
