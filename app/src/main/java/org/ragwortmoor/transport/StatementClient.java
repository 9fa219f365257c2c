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
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.protocol.StatementCodec;
import org.ragwortmoor.state.statement.StatementMessage;

/** Opens connections to database servers. The listeners are called on the event loop. */
public final class StatementClient {
    /** Longest time to open a TCP connection, in milliseconds; the engine has its own limit. */
    private static final int CONNECT_MILLIS = 1_000;

    private final EventLoopGroup loops;
    private final String localHost;

    /** Creates a client whose connections start from an IP number. */
    public StatementClient(EventLoopGroup loops, String localHost) {
        this.loops = loops;
        this.localHost = localHost;
    }

    /** Starts to open a connection. */
    public SessionHost.ServerLink connect(String address, SessionHost.ServerLinkListener listener) {
        Link link = new Link(listener);
        var target = Channels.parse(address);
        if (target.isEmpty()) {
            loops.next().execute(() -> link.fail("no IP address and port: " + address));
            return link;
        }
        link.opening =
                new Bootstrap()
                        .group(loops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                        .localAddress(new InetSocketAddress(localHost, 0))
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(StatementLines.decoder())
                                                .addLast(link);
                                    }
                                })
                        .connect(target.get());
        link.opening.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        link.fail("connect: " + done.cause().getClass().getSimpleName());
                    }
                });
        return link;
    }

    private static final class Link extends SimpleChannelInboundHandler<ByteBuf>
            implements SessionHost.ServerLink {
        private final SessionHost.ServerLinkListener listener;
        private ChannelFuture opening;
        private Channel channel;
        private boolean ended;

        Link(SessionHost.ServerLinkListener listener) {
            this.listener = listener;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (ended) {
                channel.close();
            } else {
                listener.opened();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            if (ended) {
                return;
            }
            StatementCodec.decode(line.toString(StandardCharsets.UTF_8))
                    .peek(listener::received)
                    .peekLeft(this::fail);
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
            if (!ended) {
                close();
                listener.closed(reason);
            }
        }

        @Override
        public void send(List<StatementMessage> messages) {
            if (channel != null && !ended) {
                StatementLines.write(channel, messages);
            }
        }

        @Override
        public void close() {
            ended = true;
            if (channel != null) {
                channel.close();
            } else if (opening != null) {
                opening.cancel(false);
                opening.channel().close();
            }
        }
    }
}
