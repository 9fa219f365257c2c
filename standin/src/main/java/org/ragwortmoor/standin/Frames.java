package org.ragwortmoor.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortmoor.protocol.FrameLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Channels that carry length-prefixed frames. */
final class Frames {
    private static final Logger LOG = LoggerFactory.getLogger(Frames.class);

    /** Two of the largest frames may wait to be written before a connection counts as stuck. */
    private static final int LARGEST_FRAMES_WAITING = 2;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private Frames() {}

    /** Returns an initializer that frames the bytes and adds a new handler. */
    static ChannelInitializer<Channel> initializer(
            FrameLimits limits, Supplier<ChannelHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        limits.maxBytes(),
                                        0,
                                        FrameLimits.LENGTH_BYTES,
                                        0,
                                        FrameLimits.LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(FrameLimits.LENGTH_BYTES))
                        .addLast(handler.get());
            }
        };
    }

    static WriteBufferWaterMark waterMark(FrameLimits limits) {
        return new WriteBufferWaterMark(
                limits.maxBytes(), LARGEST_FRAMES_WAITING * limits.maxBytes());
    }

    /** Opens a connection from the stand-in's own IP number, by which faults can address it. */
    static ChannelFuture connect(
            EventLoop loop, StandinSettings settings, String address, ChannelHandler handler) {
        int colon = address.lastIndexOf(':');
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark(settings.frameLimits()))
                .localAddress(new InetSocketAddress(settings.host(), 0))
                .remoteAddress(
                        new InetSocketAddress(
                                address.substring(0, colon),
                                Integer.parseInt(address.substring(colon + 1))))
                .handler(initializer(settings.frameLimits(), () -> handler))
                .connect();
    }

    /** Writes a frame; a failure closes the channel. */
    static void write(Channel channel, byte[] frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Closes a channel; its handler learns of the end. */
    static void close(Channel channel) {
        channel.close().addListener(done -> logFailure(done, "close"));
    }

    /** Runs a task on the event loop after a delay. */
    static void after(EventLoop loop, long delay, TimeUnit unit, Runnable task) {
        loop.schedule(task, delay, unit).addListener(done -> logFailure(done, "timer"));
    }

    private static void logFailure(Future<?> done, String what) {
        if (!done.isSuccess() && !done.isCancelled()) {
            LOG.error("{} failed", what, done.cause());
        }
    }

    /**
     * Returns whether an address is an IPv4 number and a port; names would need a blocking lookup.
     */
    static boolean valid(String address) {
        int colon = address.indexOf(':');
        return colon > 0
                && NetUtil.isValidIpV4Address(address.substring(0, colon))
                && address.substring(colon + 1).matches("\\d{1,5}")
                && Integer.parseInt(address.substring(colon + 1)) <= 65_535;
    }
}
