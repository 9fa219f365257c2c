package org.ragwortmoor.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.protocol.StatementCodec;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.NameField;
import org.ragwortmoor.state.statement.StatementMessage;

/** Opens connections to database servers. Listeners are called on the event loop. */
public final class StatementClient {
    /** Timeout for opening a TCP connection; the engine has a timeout of its own. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoopGroup eventLoops;
    private final String localHost;

    /** Creates a client that opens connections from the local IP address {@code localHost}. */
    public StatementClient(EventLoopGroup eventLoops, String localHost) {
        this.eventLoops = eventLoops;
        this.localHost = localHost;
    }

    /** Starts opening a connection and returns without waiting for it. */
    public SessionHost.ServerLink connect(String address, SessionHost.ServerLinkListener listener) {
        return connect(address, listener, ByteCounter.none());
    }

    /**
     * Starts opening a connection and returns without waiting for it.
     *
     * @param traffic counts the bytes of the messages
     */
    public SessionHost.ServerLink connect(
            String address, SessionHost.ServerLinkListener listener, ByteCounter traffic) {
        ServerConnection connection = new ServerConnection(listener, traffic);
        var target = Channels.parseIpv4Address(address);
        if (target.isEmpty()) {
            eventLoops.next().execute(() -> connection.fail("no IP address and port: " + address));
            return connection;
        }
        connection.connectFuture =
                new Bootstrap()
                        .group(eventLoops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .localAddress(new InetSocketAddress(localHost, 0))
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(Channels.flushConsolidation())
                                                .addLast(StatementLines.decoder())
                                                .addLast(connection);
                                    }
                                })
                        .connect(target.get());
        connection.connectFuture.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        // Without a descriptor the listener is called on a thread of Netty's own.
                        String cause = done.cause().getClass().getSimpleName();
                        eventLoops.next().execute(() -> connection.fail("connect: " + cause));
                    }
                });
        return connection;
    }

    private static final class ServerConnection extends SimpleChannelInboundHandler<ByteBuf>
            implements SessionHost.ServerLink {
        private final SessionHost.ServerLinkListener listener;
        private final ByteCounter traffic;
        private ChannelFuture connectFuture;
        private Channel channel;
        private boolean closed;

        ServerConnection(SessionHost.ServerLinkListener listener, ByteCounter traffic) {
            this.listener = listener;
            this.traffic = traffic;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (closed) {
                channel.close();
            } else {
                listener.opened();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (closed) {
                return;
            }
            traffic.received(line.readableBytes() + StatementCodec.LINE_END.length());
            StatementLines.read(line).peek(listener::received).peekLeft(this::fail);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("closed by the server");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause.getClass().getSimpleName() + ": " + cause.getMessage());
        }

        void fail(String reason) {
            if (!closed) {
                close();
                listener.closed(reason);
            }
        }

        @Override
        public void send(List<StatementMessage> messages) {
            if (channel != null && !closed) {
                traffic.sent(StatementLines.write(channel, encodeNames(messages)));
            }
        }

        /** Replaces the names in CONNECT, which come from the configuration, by their bytes. */
        private static List<StatementMessage> encodeNames(List<StatementMessage> messages) {
            if (messages.get(0).kind() != MessageKind.CONNECT) {
                return messages;
            }
            List<String> names = messages.get(0).fields().stream().map(NameField::format).toList();
            return List.of(new StatementMessage(MessageKind.CONNECT, names));
        }

        @Override
        public void close() {
            closed = true;
            if (channel != null) {
                channel.close();
            } else if (connectFuture != null) {
                connectFuture.cancel(false);
                connectFuture.channel().close();
            }
        }
    }
}
