package org.ragwortmoor.state.log;

/**
 * Sizes of the durable log.
 *
 * @param segmentBytes size in bytes at which a new segment is started
 */
public record LogSettings(long segmentBytes) {
    /** Segments of 4 MiB: recovery reads one at a time, and a snapshot frees disk in such steps. */
    public static final LogSettings DEFAULT = new LogSettings(4L << 20);

    /** Validates the range. */
    public LogSettings {
        if (segmentBytes < 64) {
            throw new IllegalArgumentException("segmentBytes must be at least 64: " + segmentBytes);
        }
    }
}
