package org.ragwortmoor.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Sends HTTP/1.1 POST requests, each on its own connection. */
public final class HttpPostClient {
    private static final int MAX_RESPONSE_BODY_BYTES = 64 << 10;

    private final EventLoopGroup eventLoops;
    private final long timeoutMillis;

    /** Creates a client with a timeout for connecting and for reading, in milliseconds. */
    public HttpPostClient(EventLoopGroup eventLoops, long timeoutMillis) {
        this.eventLoops = eventLoops;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Posts a JSON body.
     *
     * @param stillValid checked when the connection is open; if false, nothing is sent
     * @return the status code, or a failure if there is no response
     */
    public CompletableFuture<Integer> post(
            String address,
            String path,
            Map<String, String> headers,
            String body,
            BooleanSupplier stillValid) {
        CompletableFuture<Integer> result = new CompletableFuture<>();
        var target = Channels.parseIpv4Address(address);
        if (target.isEmpty()) {
            result.completeExceptionally(
                    new IOException("not an IPv4 address and port: " + address));
            return result;
        }
        new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeoutMillis)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new ReadTimeoutHandler(
                                                        timeoutMillis, TimeUnit.MILLISECONDS))
                                        .addLast(new HttpClientCodec())
                                        .addLast(new HttpObjectAggregator(MAX_RESPONSE_BODY_BYTES))
                                        .addLast(new ResponseHandler(result));
                            }
                        })
                .connect(target.get())
                .addListener(
                        (io.netty.channel.ChannelFuture done) -> {
                            if (!done.isSuccess()) {
                                result.completeExceptionally(done.cause());
                            } else if (!stillValid.getAsBoolean()) {
                                result.completeExceptionally(
                                        new IOException("the request is no longer valid"));
                                done.channel().close();
                            } else {
                                done.channel().writeAndFlush(request(address, path, headers, body));
                            }
                        });
        return result;
    }

    private static DefaultFullHttpRequest request(
            String address, String path, Map<String, String> headers, String body) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        path,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers()
                .set(HttpHeaderNames.HOST, address)
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONNECTION, "close")
                .setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        headers.forEach((name, value) -> request.headers().set(name, value));
        return request;
    }

    private static final class ResponseHandler
            extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CompletableFuture<Integer> result;

        ResponseHandler(CompletableFuture<Integer> result) {
            this.result = result;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            result.complete(response.status().code());
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            result.completeExceptionally(new IOException("connection closed before the response"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset discards what a partition has held up, so that it cannot arrive later.
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            result.completeExceptionally(cause);
            context.close();
        }
    }
}
