package org.ragwortmoor.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A small HTTP/1.1 listener for load balancers, servers and operators. */
public final class HttpPort implements AutoCloseable {
    /** Connections without a request for this long are closed, in seconds. */
    private static final int IDLE_SECONDS = 60;

    private static final Logger LOG = LoggerFactory.getLogger(HttpPort.class);

    private final Channel socket;

    /** A request with its whole body. */
    public record Request(String method, String path, String body) {}

    /** An answer; an empty content type stands for an answer without a body. */
    public record Reply(int status, String contentType, String body) {
        /** Returns an answer without a body. */
        public static Reply of(int status) {
            return new Reply(status, "", "");
        }

        /** Returns an answer with a text. */
        public static Reply text(int status, String text) {
            return new Reply(status, "text/plain; charset=utf-8", text);
        }
    }

    /** Answers requests; called on the event loop. */
    public interface Handler {
        /** Returns the answer, now or later. */
        CompletionStage<Reply> handle(Request request);
    }

    /**
     * Starts to listen.
     *
     * @param maxBodyBytes largest accepted body; a larger one gets 413
     * @throws IOException if the address is taken
     */
    public HttpPort(EventLoopGroup loops, String host, int port, int maxBodyBytes, Handler handler)
            throws IOException {
        var bound =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new ReadTimeoutHandler(IDLE_SECONDS))
                                                .addLast(new HttpServerCodec())
                                                .addLast(new HttpObjectAggregator(maxBodyBytes))
                                                .addLast(new Exchange(handler));
                                    }
                                })
                        .bind(host, port)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + host + ":" + port, bound.cause());
        }
        socket = bound.channel();
    }

    @Override
    public void close() {
        socket.close();
    }

    private static final class Exchange extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;

        Exchange(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            Request decoded =
                    new Request(
                            request.method().name(),
                            request.uri(),
                            request.content().toString(StandardCharsets.UTF_8));
            handler.handle(decoded)
                    .whenComplete((reply, error) -> answer(context, reply, error, keepAlive));
        }

        private static void answer(
                ChannelHandlerContext context, Reply reply, Throwable error, boolean keepAlive) {
            if (error != null) {
                LOG.error("event=request_failed", error);
            }
            Reply sent =
                    error == null
                            ? reply
                            : Reply.of(HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            ByteBuf body = Unpooled.copiedBuffer(sent.body(), StandardCharsets.UTF_8);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(sent.status()), body);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (!sent.contentType().isEmpty()) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, sent.contentType());
            }
            HttpUtil.setKeepAlive(response, keepAlive);
            var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
