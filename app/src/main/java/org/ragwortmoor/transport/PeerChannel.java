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
 * <p>An empty frame is a probe of the connection; the accepting side returns it. It tells a silent
 * connection from a peer that has nothing to say.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(PeerChannel.class);

    private final Events events;
    private final boolean returnsProbes;
    private final PeerQueue queue;
    private final TransportMetrics metrics;
    private String label;
    private volatile Channel active;
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
     * @param label label of the peer in metrics
     * @param queue messages to send
     */
    PeerChannel(
            String label,
            PeerQueue queue,
            boolean returnsProbes,
            Events events,
            TransportMetrics metrics) {
        this.label = label;
        this.queue = queue;
        this.returnsProbes = returnsProbes;
        this.events = events;
        this.metrics = metrics;
    }

    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Queues a message and sends what the write buffer takes; callable from any thread. */
    void offer(PeerQueue.Message message) {
        countDropped(queue.offer(message));
        drainSoon();
    }

    void drainSoon() {
        Channel current = active;
        if (current != null) {
            current.eventLoop().execute(this::drain);
        }
    }

    private void countDropped(int dropped) {
        for (int i = 0; i < dropped; i++) {
            metrics.dropped(label);
        }
    }

    void joinGroup(ChannelGroup group) {
        group.add(active);
    }

    void close() {
        Channel current = active;
        if (current != null) {
            Channels.close(current);
        }
    }

    void probe() {
        if (active != null && active.isWritable()) {
            Channels.write(active, Unpooled.EMPTY_BUFFER);
            active.flush();
        }
    }

    private void drain() {
        Channel current = active;
        if (current == null) {
            return;
        }
        boolean wrote = false;
        while (current.isWritable()) {
            Option<PeerQueue.Message> message = queue.poll();
            if (message.isEmpty()) {
                break;
            }
            ByteString frame = message.get().frame();
            metrics.frame(label, TransportMetrics.OUT, FrameLimits.LENGTH_BYTES + frame.size());
            Channels.write(current, Unpooled.wrappedBuffer(frame.asReadOnlyByteBuffer()));
            wrote = true;
        }
        if (wrote) {
            current.flush();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        active = ctx.channel();
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
            if (returnsProbes) {
                probe();
            }
            return;
        }
        int size = FrameLimits.LENGTH_BYTES + bytes.readableBytes();
        Either<ProtocolError, PeerEnvelope> message = PeerCodec.decode(bytes.nioBuffer());
        if (message.isLeft()) {
            metrics.error(label, "bad_frame");
            LOG.debug("closing connection to {}: {}", label, message.getLeft());
            Channels.close(ctx.channel());
            return;
        }
        if (returnsProbes) {
            label = message.get().sender();
        }
        metrics.frame(label, TransportMetrics.IN, size);
        events.received(this, message.get());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        active = null;
        events.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            metrics.error(label, "bad_frame");
            LOG.debug("closing connection to {}: {}", label, cause.getMessage());
        } else {
            metrics.error(label, "io_error");
        }
        Channels.close(ctx.channel());
    }
}
