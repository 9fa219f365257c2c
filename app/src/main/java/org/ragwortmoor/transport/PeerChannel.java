package org.ragwortmoor.transport;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.handler.codec.DecoderException;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.ragwortmoor.protocol.FrameLimits;
import org.ragwortmoor.protocol.PeerCodec;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.protocol.ProtocolError;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection between processes. Its state is confined to the channel's event loop.
 *
 * <p>An empty frame is a keepalive probe, which the accepting side echoes. It distinguishes a dead
 * connection from an idle peer.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(PeerChannel.class);

    private final Events events;
    private final boolean echoesProbes;
    private final PeerQueue queue;
    private final TransportMetrics metrics;
    private String metricsLabel;
    private volatile Channel activeChannel;
    private long lastReceivedNanos;

    /** Receives the events of one connection on its event loop. */
    interface Events {
        void opened(PeerChannel channel);

        void received(PeerChannel channel, PeerEnvelope message);

        void closed(PeerChannel channel);
    }

    /**
     * Creates the handler of one connection.
     *
     * @param metricsLabel value of the {@code peer} label in metrics
     * @param queue messages to send
     * @param echoesProbes whether empty frames are echoed, as the accepting side does
     */
    PeerChannel(
            String metricsLabel,
            PeerQueue queue,
            boolean echoesProbes,
            Events events,
            TransportMetrics metrics) {
        this.metricsLabel = metricsLabel;
        this.queue = queue;
        this.echoesProbes = echoesProbes;
        this.events = events;
        this.metrics = metrics;
    }

    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Queues a message and writes as much as the write buffer takes. Thread-safe. */
    void offer(PeerQueue.Message message) {
        countDropped(queue.offer(message));
        scheduleDrain();
    }

    void scheduleDrain() {
        Channel channel = activeChannel;
        if (channel != null) {
            channel.eventLoop().execute(this::drain);
        }
    }

    private void countDropped(int dropped) {
        for (int i = 0; i < dropped; i++) {
            metrics.dropped(metricsLabel);
        }
    }

    void addTo(ChannelGroup group) {
        group.add(activeChannel);
    }

    void close() {
        Channel channel = activeChannel;
        if (channel != null) {
            Channels.close(channel);
        }
    }

    void sendProbe() {
        if (activeChannel != null && activeChannel.isWritable()) {
            Channels.write(activeChannel, Unpooled.EMPTY_BUFFER);
            activeChannel.flush();
        }
    }

    private void drain() {
        Channel channel = activeChannel;
        if (channel == null) {
            return;
        }
        boolean wrote = false;
        while (channel.isWritable()) {
            Option<PeerQueue.Message> message = queue.poll();
            if (message.isEmpty()) {
                break;
            }
            ByteString frame = message.get().frame();
            metrics.frame(
                    metricsLabel, TransportMetrics.OUT, FrameLimits.LENGTH_BYTES + frame.size());
            Channels.write(channel, Unpooled.wrappedBuffer(frame.asReadOnlyByteBuffer()));
            wrote = true;
        }
        if (wrote) {
            channel.flush();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        activeChannel = ctx.channel();
        lastReceivedNanos = System.nanoTime();
        events.opened(this);
        drain();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        drain();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        lastReceivedNanos = System.nanoTime();
        if (!bytes.isReadable()) {
            if (echoesProbes) {
                sendProbe();
            }
            return;
        }
        int size = FrameLimits.LENGTH_BYTES + bytes.readableBytes();
        Either<ProtocolError, PeerEnvelope> message = PeerCodec.decode(bytes.nioBuffer());
        if (message.isLeft()) {
            metrics.error(metricsLabel, "bad_frame");
            LOG.debug("closing connection to {}: {}", metricsLabel, message.getLeft());
            Channels.close(ctx.channel());
            return;
        }
        if (echoesProbes) {
            metricsLabel = message.get().sender();
        }
        metrics.frame(metricsLabel, TransportMetrics.IN, size);
        events.received(this, message.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        activeChannel = null;
        events.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            metrics.error(metricsLabel, "bad_frame");
            LOG.debug("closing connection to {}: {}", metricsLabel, cause.getMessage());
        } else {
            metrics.error(metricsLabel, "io_error");
        }
        Channels.close(ctx.channel());
    }
}
