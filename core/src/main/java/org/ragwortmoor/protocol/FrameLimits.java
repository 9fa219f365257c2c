package org.ragwortmoor.protocol;

import io.vavr.control.Option;

/**
 * The size limit of frames. A frame consists of a length of four bytes in network byte order and
 * one protobuf message of that length.
 *
 * @param maxBytes maximum size of the message in bytes, without the length
 */
public record FrameLimits(int maxBytes) {
    /** Size of the length field, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /**
     * 1 MiB: far larger than any statement that the proxy accepts, and small enough that the
     * maximum of 30 connections cannot exhaust the memory of a process of 256 MB.
     */
    public static final FrameLimits DEFAULT = new FrameLimits(1 << 20);

    /** Validates the limit. */
    public FrameLimits {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("maxBytes must be positive: " + maxBytes);
        }
    }

    /**
     * Returns an error if a message of {@code bytes} bytes exceeds the limit or the size is
     * negative.
     */
    public Option<ProtocolError> check(int bytes) {
        if (bytes >= 0 && bytes <= maxBytes) {
            return Option.none();
        }
        return Option.some(
                new ProtocolError(
                        ProtocolError.Kind.TOO_LARGE,
                        "message of "
                                + bytes
                                + " bytes exceeds the frame limit of "
                                + maxBytes
                                + " bytes; send fewer or smaller records"));
    }
}
