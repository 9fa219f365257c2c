package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandler;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragwortmoor.protocol.StatementCodec;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * Reads and writes lines of the statement protocol on a channel. Fields are bytes of any value;
 * each character of a message stands for one byte.
 */
final class StatementLines {
    private StatementLines() {}

    /** Decodes a line without its end; returns an error message if it is malformed. */
    static Either<String, StatementMessage> read(ByteBuf line) {
        return StatementCodec.decode(line.toString(StandardCharsets.ISO_8859_1));
    }

    /** Returns a decoder that rejects lines over the protocol's limit without buffering them. */
    static ChannelInboundHandler decoder() {
        return new LineDecoder(StatementCodec.MAX_LINE_BYTES);
    }

    /** Returns a decoder that also asks {@code reader} before it passes on a line. */
    static ChannelInboundHandler decoder(LineDecoder.Reader reader) {
        return new LineDecoder(StatementCodec.MAX_LINE_BYTES, reader);
    }

    /** Writes messages with one flush; returns their size. A failed write closes the channel. */
    static int write(Channel channel, List<StatementMessage> messages) {
        StringBuilder lines = new StringBuilder();
        messages.forEach(message -> lines.append(StatementCodec.encode(message)));
        byte[] bytes = lines.toString().getBytes(StandardCharsets.ISO_8859_1);
        channel.writeAndFlush(channel.alloc().buffer(bytes.length).writeBytes(bytes))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        return bytes.length;
    }

    /** Closes the channel after its pending writes. */
    static void closeAfterWrites(Channel channel) {
        channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
    }
}
