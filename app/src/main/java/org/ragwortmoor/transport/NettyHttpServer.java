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
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A minimal HTTP/1.1 server for load balancers, database servers and operators. */
public final class NettyHttpServer implements AutoCloseable {
    /** Requests without a response from which a connection is not read. */
    private static final int MAX_UNANSWERED = 4;

    /** Connections without a request for this long are closed. */
    private static final int IDLE_TIMEOUT_SECONDS = 60;

    private static final Logger LOG = LoggerFactory.getLogger(NettyHttpServer.class);

    private final Channel listeningChannel;

    /** A request with its complete body. */
    public record Request(String method, String path, String body) {}

    /** A response. One without a body has an empty content type. */
    public record Response(int status, String contentType, String body) {
        /** Returns a response without a body. */
        public static Response of(int status) {
            return new Response(status, "", "");
        }

        /** Returns a plain-text response. */
        public static Response text(int status, String text) {
            return new Response(status, "text/plain; charset=utf-8", text);
        }
    }

    /** Handles requests. Called on the event loop. */
    public interface Handler {
        /** Returns the response, which may complete later. */
        CompletionStage<Response> handle(Request request);
    }

    /**
     * Opens the listening socket.
     *
     * @param maxBodyBytes maximum size of a request body; larger requests get status 413
     * @param guard limits the connections
     * @throws IOException if the address cannot be bound
     */
    public NettyHttpServer(
            EventLoopGroup loops,
            String host,
            int port,
            int maxBodyBytes,
            ConnectionGuard guard,
            Handler handler)
            throws IOException {
        var bindFuture =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        HttpInputGuard input = new HttpInputGuard(guard);
                                        channel.pipeline()
                                                .addLast(
                                                        new ReadTimeoutHandler(
                                                                IDLE_TIMEOUT_SECONDS))
                                                .addLast(input)
                                                .addLast(new HttpServerCodec())
                                                .addLast(new FlowControlHandler())
                                                .addLast(new HttpObjectAggregator(maxBodyBytes))
                                                .addLast(new RequestHandler(input, handler));
                                    }
                                })
                        .bind(host, port)
                        .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException("cannot listen on " + host + ":" + port, bindFuture.cause());
        }
        listeningChannel = bindFuture.channel();
    }

    @Override
    public void close() {
        listeningChannel.close();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final HttpInputGuard input;
        private final Handler handler;
        private CompletionStage<Void> previous = CompletableFuture.completedFuture(null);
        private int unanswered;

        RequestHandler(HttpInputGuard input, Handler handler) {
            this.input = input;
            this.handler = handler;
        }

        /** A client that does not read the responses is not read either. */
        private void updateReading(ChannelHandlerContext context) {
            Channel channel = context.channel();
            boolean read = unanswered < MAX_UNANSWERED && channel.isWritable();
            if (read != channel.config().isAutoRead()) {
                channel.config().setAutoRead(read);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            updateReading(context);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            input.requested(context);
            unanswered++;
            updateReading(context);
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            CompletionStage<Response> handled = handle(request);
            // Clients match responses with pipelined requests by their order.
            previous =
                    previous.thenCompose(
                            done ->
                                    handled.handle(
                                            (response, error) -> {
                                                writeResponse(context, response, error, keepAlive);
                                                unanswered--;
                                                updateReading(context);
                                                return null;
                                            }));
        }

        /** Calls the handler; its exception fails this request only. */
        private CompletionStage<Response> handle(FullHttpRequest request) {
            try {
                // A replaced character would make a name of bytes that cannot be read.
                String body =
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .decode(request.content().nioBuffer())
                                .toString();
                return handler.handle(new Request(request.method().name(), request.uri(), body));
            } catch (CharacterCodingException e) {
                return CompletableFuture.completedFuture(
                        Response.text(
                                HttpResponseStatus.BAD_REQUEST.code(), "the body is not UTF-8"));
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private static void writeResponse(
                ChannelHandlerContext context,
                Response response,
                Throwable error,
                boolean keepAlive) {
            if (error != null) {
                LOG.error("event=request_failed", error);
            }
            Response sent =
                    error == null
                            ? response
                            : Response.of(HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            ByteBuf body = Unpooled.copiedBuffer(sent.body(), StandardCharsets.UTF_8);
            FullHttpResponse message =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(sent.status()), body);
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (!sent.contentType().isEmpty()) {
                message.headers().set(HttpHeaderNames.CONTENT_TYPE, sent.contentType());
            }
            HttpUtil.setKeepAlive(message, keepAlive);
            var written = context.writeAndFlush(message);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException) && !(cause instanceof ReadTimeoutException)) {
                LOG.warn(
                        "event=connection_failed peer={}",
                        context.channel().remoteAddress(),
                        cause);
            }
            context.close();
        }
    }
}
