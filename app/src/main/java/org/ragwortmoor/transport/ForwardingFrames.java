package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.ragwortmoor.protocol.ForwardingCodec;
import org.ragwortmoor.protocol.FrameLimits;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.ForwardingFrame;

/** Reads and writes the frames of links between proxies. */
final class ForwardingFrames {
    /**
     * A line of 1 MiB takes up to 2 MiB in a frame, and a frame contains a prepared statement, its
     * arguments and the session values, or all rows of an answer.
     */
    static final FrameLimits LIMITS = new FrameLimits(16 << 20);

    private ForwardingFrames() {}

    static Either<ProtocolError, ForwardingFrame> read(ByteBuf bytes) {
        return ForwardingCodec.decodeFrame(ByteBufUtil.getBytes(bytes));
    }

    /** Returns an error if a frame is too large; to send it would close the link. */
    static Option<ProtocolError> check(ForwardingFrame frame) {
        return LIMITS.check(frame.getSerializedSize());
    }

    /** Writes a frame. A failed write closes the channel. */
    static void write(Channel channel, ForwardingFrame frame) {
        Channels.write(channel, Unpooled.wrappedBuffer(frame.toByteArray()));
        channel.flush();
    }
}
