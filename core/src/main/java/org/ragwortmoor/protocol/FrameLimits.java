package org.ragwortmoor.protocol;

import io.vavr.control.Option;

/**
 * Limits of frames. A frame is a length of four bytes in network order and as many bytes of one
 * protobuf message.
 *
 * @param maxBytes largest message in bytes, without the length
 */
public record FrameLimits(int maxBytes) {
    /** Size of the length before each message, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /**
     * 1 MiB: far above any statement that the proxy admits, and small enough that a full set of 30
     * connections cannot exhaust a process of 256 MB.
     */
    public static final FrameLimits DEFAULT = new FrameLimits(1 << 20);

    /** Validates that the limit is positive. */
    public FrameLimits {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("maxBytes must be positive: " + maxBytes);
        }
    }

    /** Returns an error if a message of {@code bytes} bytes is not allowed in a frame. */
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
