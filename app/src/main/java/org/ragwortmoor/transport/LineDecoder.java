package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Splits bytes into lines, which end at CR LF only, and removes the line ends.
 *
 * <p>A CR or LF alone is part of a line. If a line could end there, a caller's data could contain
 * statements. After a line that is too long, all further bytes are dropped.
 */
final class LineDecoder extends ByteToMessageDecoder {
    private static final byte CR = '\r';
    private static final byte LF = '\n';
    private static final int LINE_END_BYTES = 2;

    private final int maxLineBytes;
    private final Reader reader;

    /** Number of bytes at the start of the buffer that contain no line end. */
    private int searchedBytes;

    private boolean tooLong;

    /** Receives the lines, and may have them wait in the buffer. */
    interface Reader {
        /** Returns whether another line may be passed on. */
        boolean mayDecode();

        /**
         * Bytes were received.
         *
         * @param bytes bytes in the buffer
         * @param newlyReceived bytes received since the last call
         */
        void buffered(int bytes, int newlyReceived);
    }

    /**
     * Creates a decoder that passes on all lines.
     *
     * @param maxLineBytes maximum size of a line without its end, in bytes; if a line is longer,
     *     the decoder throws {@link TooLongFrameException} as soon as it has received more
     */
    LineDecoder(int maxLineBytes) {
        this(
                maxLineBytes,
                new Reader() {
                    @Override
                    public boolean mayDecode() {
                        return true;
                    }

                    @Override
                    public void buffered(int bytes, int newlyReceived) {
                        // The reader has no limit.
                    }
                });
    }

    /** Creates a decoder that asks {@code reader} before it passes on a line. */
    LineDecoder(int maxLineBytes, Reader reader) {
        this.maxLineBytes = maxLineBytes;
        this.reader = reader;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        int newlyReceived = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        super.channelRead(context, message);
        reader.buffered(actualReadableBytes(), newlyReceived);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (tooLong) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!reader.mayDecode()) {
            return;
        }
        int lineBytes = findLineEnd(in);
        boolean complete = lineBytes >= 0;
        if (!complete) {
            lineBytes = in.readableBytes() - (endsWithCr(in) ? 1 : 0);
        }
        if (lineBytes > maxLineBytes) {
            tooLong = true;
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("a line is longer than " + maxLineBytes + " bytes");
        }
        if (complete) {
            out.add(in.readRetainedSlice(lineBytes));
            in.skipBytes(LINE_END_BYTES);
        }
    }

    /** Returns the size of the first line, or -1 if its end has not been received. */
    private int findLineEnd(ByteBuf in) {
        int start = in.readerIndex();
        int lf = in.indexOf(start + searchedBytes, in.writerIndex(), LF);
        while (lf >= 0 && (lf == start || in.getByte(lf - 1) != CR)) {
            lf = in.indexOf(lf + 1, in.writerIndex(), LF);
        }
        searchedBytes = lf < 0 ? in.readableBytes() : 0;
        return lf < 0 ? -1 : lf - 1 - start;
    }

    private static boolean endsWithCr(ByteBuf in) {
        return in.isReadable() && in.getByte(in.writerIndex() - 1) == CR;
    }
}
