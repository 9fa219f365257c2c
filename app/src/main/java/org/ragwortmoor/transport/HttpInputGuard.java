package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports the bytes that an HTTP connection has sent since its last complete request. */
final class HttpInputGuard extends ChannelInboundHandlerAdapter {
    private final ConnectionGuard guard;
    private long heldBytes;

    HttpInputGuard(ConnectionGuard guard) {
        this.guard = guard;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        guard.opened(context.channel());
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        heldBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        context.fireChannelRead(message);
        if (heldBytes > 0) {
            guard.holds(context.channel(), heldBytes);
        }
    }

    /** A request is complete. */
    void requested(ChannelHandlerContext context) {
        heldBytes = 0;
        guard.requested(context.channel());
        guard.holds(context.channel(), 0);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        guard.closed(context.channel());
        context.fireChannelInactive();
    }
}
