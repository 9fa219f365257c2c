package org.ragwortmoor.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortmoor.protocol.FrameLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Static helpers for channels that carry length-prefixed frames. */
final class Channels {
    private static final Logger LOG = LoggerFactory.getLogger(Channels.class);

    /** Timeout for closing channels and for stopping event loops. */
    static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    private Channels() {}

    static EventLoopGroup newEventLoops(TransportSettings settings) {
        return new MultiThreadIoEventLoopGroup(
                settings.eventLoopThreads(), NioIoHandler.newFactory());
    }

    /** Returns the initializer of connections that this process opens. */
    static ChannelInitializer<Channel> initializer(
            FrameLimits limits, Supplier<ChannelHandler> handler) {
        return initializer(limits, ConnectionGuard.unlimited(), handler);
    }

    /** Returns the initializer of connections that this process accepts. */
    static ChannelInitializer<Channel> initializer(
            FrameLimits limits, ConnectionGuard guard, Supplier<ChannelHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(flushConsolidation())
                        .addLast(new GuardedFrameDecoder(limits, guard))
                        .addLast(new LengthFieldPrepender(FrameLimits.LENGTH_BYTES))
                        .addLast(handler.get());
            }
        };
    }

    /**
     * Returns a handler that flushes once for all messages that are written in one turn of the
     * event loop; statements that follow each other then share packets and system calls.
     */
    static ChannelHandler flushConsolidation() {
        return new FlushConsolidationHandler(
                FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true);
    }

    static WriteBufferWaterMark writeBufferWaterMark(TransportSettings settings) {
        return new WriteBufferWaterMark(
                settings.writeBufferBytes() / 2, settings.writeBufferBytes());
    }

    static ChannelFuture connect(
            EventLoopGroup loops,
            TransportSettings settings,
            InetSocketAddress address,
            ChannelHandler handler) {
        return new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark(settings))
                .localAddress(new InetSocketAddress(settings.localHost(), 0))
                .handler(initializer(settings.frameLimits(), () -> handler))
                .connect(address);
    }

    /** Writes a frame. A failed write closes the channel. */
    static void write(Channel channel, ByteBuf frame) {
        channel.write(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Closes a channel. Its handler is notified by {@code channelInactive}. */
    static void close(Channel channel) {
        channel.close().addListener(done -> logFailure(done, "close"));
    }

    /** Runs a task on the event loop after a delay. */
    static void schedule(EventLoop loop, long delayMillis, Runnable task) {
        loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS)
                .addListener(done -> logFailure(done, "timer"));
    }

    private static void logFailure(Future<?> done, String operation) {
        if (!done.isSuccess() && !done.isCancelled()) {
            LOG.error("{} failed", operation, done.cause());
        }
    }

    /** Returns the socket address for {@code IPV4:PORT}, or none if the text has another form. */
    static Option<InetSocketAddress> parseIpv4Address(String address) {
        int colon = address.indexOf(':');
        if (colon < 0
                || !NetUtil.isValidIpV4Address(address.substring(0, colon))
                || !address.substring(colon + 1).matches("\\d{1,5}")) {
            return Option.none();
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        return Option.when(
                port <= 65_535, () -> new InetSocketAddress(address.substring(0, colon), port));
    }

    /** Stops the event loops, which closes their channels, and waits until they have stopped. */
    static void shutdown(EventLoopGroup loops) {
        boolean terminated =
                loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .awaitUninterruptibly(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (!terminated) {
            LOG.warn("event loops did not stop within {} s", SHUTDOWN_TIMEOUT_SECONDS);
        }
    }
}
