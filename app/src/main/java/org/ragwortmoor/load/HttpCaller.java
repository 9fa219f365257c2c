package org.ragwortmoor.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.settings.Address;

/**
 * HTTP client for many callers on one event loop, with one request at a time per connection.
 *
 * <p>Netty's codec on one loop was chosen over {@code java.net.http}, which hands each exchange
 * through several threads and queues; the load shares its machine with the proxies. All replies
 * arrive on the loop, which therefore also serves as the lock of the callers' state.
 */
final class HttpCaller implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ANSWER_BYTES = 1 << 22;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Bootstrap bootstrap;
    private final Map<Address, Deque<Connection>> idle = new HashMap<>();

    /** Takes the reply to one call. */
    interface Reply extends Consumer<Either<CallFailure, JsonNode>> {}

    HttpCaller() {
        bootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec())
                                                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                                .addLast(new Connection());
                                    }
                                });
    }

    /** Returns the loop on which all replies arrive. */
    EventLoop loop() {
        return loop;
    }

    /** Posts a body; must be called on the loop. */
    void post(Address to, String path, JsonNode body, long timeoutMillis, Reply reply) {
        Deque<Connection> pool = idle.computeIfAbsent(to, a -> new ArrayDeque<>());
        Connection connection = pool.pollLast();
        while (connection != null && !connection.channel.isActive()) {
            connection = pool.pollLast();
        }
        if (connection != null) {
            connection.send(to, path, body, timeoutMillis, reply);
            return;
        }
        bootstrap
                .connect(to.socketAddress())
                .addListener(
                        (io.netty.channel.ChannelFuture opened) -> {
                            if (opened.isSuccess()) {
                                opened.channel()
                                        .pipeline()
                                        .get(Connection.class)
                                        .send(to, path, body, timeoutMillis, reply);
                            } else {
                                reply.accept(Either.left(CallFailure.NOT_SENT));
                            }
                        });
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** One connection. Confined to the loop. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Address address;
        private Reply waiting;
        private ScheduledFuture<?> timeout;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void send(Address to, String path, JsonNode body, long timeoutMillis, Reply reply) {
            address = to;
            waiting = reply;
            byte[] bytes;
            try {
                bytes = JSON.writeValueAsBytes(body);
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("a tree of JSON nodes cannot be written", e);
            }
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.POST,
                            path,
                            Unpooled.wrappedBuffer(bytes));
            request.headers()
                    .set(HttpHeaderNames.HOST, to.toString())
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            timeout = loop.schedule(() -> channel.close(), timeoutMillis, TimeUnit.MILLISECONDS);
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            JsonNode body;
            try (InputStream stream = new ByteBufInputStream(response.content())) {
                body = JSON.readTree(stream);
            } catch (IOException e) {
                context.close();
                return;
            }
            Reply reply = end();
            boolean keep =
                    !"close".equalsIgnoreCase(response.headers().get(HttpHeaderNames.CONNECTION));
            if (keep) {
                idle.get(address).addLast(this);
            } else {
                context.close();
            }
            if (reply != null) {
                reply.accept(Either.right(body));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            Reply reply = end();
            if (reply != null) {
                reply.accept(Either.left(CallFailure.NO_ANSWER));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset connection; channelInactive reports the missing answer.
            context.close();
        }

        private Reply end() {
            Reply reply = waiting;
            waiting = null;
            if (timeout != null) {
                timeout.cancel(false);
                timeout = null;
            }
            return reply;
        }
    }
}
