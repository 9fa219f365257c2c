package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragwortmoor.protocol.StatementCodec;
import org.ragwortmoor.state.statement.StatementMessage;

/** Lines of the statement protocol on a channel. */
final class StatementLines {
    private StatementLines() {}

    /** Returns a decoder that refuses lines over the protocol's limit without keeping them. */
    static LineBasedFrameDecoder decoder() {
        return new LineBasedFrameDecoder(
                StatementCodec.MAX_LINE_BYTES + StatementCodec.LINE_END.length(), true, true);
    }

    /** Writes messages with one flush; a failure closes the channel. */
    static void write(Channel channel, List<StatementMessage> messages) {
        StringBuilder lines = new StringBuilder();
        messages.forEach(message -> lines.append(StatementCodec.encode(message)));
        ByteBuf bytes =
                ByteBufUtil.encodeString(
                        channel.alloc(), java.nio.CharBuffer.wrap(lines), StandardCharsets.UTF_8);
        channel.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Writes what was sent so far and closes the channel. */
    static void closeAfterWrites(Channel channel) {
        channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
    }
}
