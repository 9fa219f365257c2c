package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.ragwortmoor.protocol.FrameLimits;

/** Splits bytes into frames and reports what incomplete frames hold. */
final class GuardedFrameDecoder extends LengthFieldBasedFrameDecoder {
    private final ConnectionGuard guard;
    private int heldBytes;

    GuardedFrameDecoder(FrameLimits limits, ConnectionGuard guard) {
        super(limits.maxBytes(), 0, FrameLimits.LENGTH_BYTES, 0, FrameLimits.LENGTH_BYTES);
        this.guard = guard;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        guard.opened(context.channel());
        super.channelActive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        int held = actualReadableBytes();
        if (held != heldBytes) {
            heldBytes = held;
            guard.holds(context.channel(), held);
        }
    }

    @Override
    protected Object decode(ChannelHandlerContext context, ByteBuf in) throws Exception {
        Object frame = super.decode(context, in);
        if (frame != null) {
            guard.requested(context.channel());
        }
        return frame;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        guard.closed(context.channel());
        super.channelInactive(context);
    }
}
