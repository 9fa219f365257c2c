package org.ragwortmoor.state.log;

/**
 * Settings of the durable log.
 *
 * @param segmentBytes size in bytes at which a new segment is started
 */
public record LogSettings(long segmentBytes) {
    /**
     * Segments of 4 MiB: recovery reads one segment at a time into memory, and a snapshot frees
     * disk space in units of segments.
     */
    public static final LogSettings DEFAULT = new LogSettings(4L << 20);

    /** Validates the segment size. */
    public LogSettings {
        if (segmentBytes < 64) {
            throw new IllegalArgumentException("segmentBytes must be at least 64: " + segmentBytes);
        }
    }
}
