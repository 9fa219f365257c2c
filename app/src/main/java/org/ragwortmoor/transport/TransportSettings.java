package org.ragwortmoor.transport;

import org.ragwortmoor.protocol.FrameLimits;

/**
 * Settings of the transports of one process.
 *
 * @param localHost IP address that connections are opened from and servers listen on
 * @param eventLoopThreads number of event loop threads
 * @param frameLimits limits on the size of frames
 * @param connectTimeoutMillis timeout for opening a TCP connection, in milliseconds
 * @param helloTimeoutMillis timeout for the answer to {@code Hello}, in milliseconds
 * @param writeBufferBytes high-water mark of the write buffer of one connection, in bytes
 * @param queueCapacity capacity of the send queue of one peer, in messages
 * @param minBackoffMillis initial backoff before reconnecting, in milliseconds
 * @param maxBackoffMillis maximum backoff before reconnecting, in milliseconds
 */
public record TransportSettings(
        String localHost,
        int eventLoopThreads,
        FrameLimits frameLimits,
        int connectTimeoutMillis,
        int helloTimeoutMillis,
        int writeBufferBytes,
        int queueCapacity,
        int minBackoffMillis,
        int maxBackoffMillis) {
    /** A log entry takes up to 4 MiB; the remaining 1 MiB is for the message that carries it. */
    private static final int MAX_PEER_FRAME_BYTES = 5 << 20;

    /**
     * Returns the default settings. The timeouts of 1 s equal the time after which a silent
     * connection counts as dead. The write buffer holds four frames of maximum size, and the queue
     * of 256 messages holds several seconds of heartbeats. The backoff of 50 ms to 1 s is short
     * compared with a failover, which takes 2 s.
     */
    public static TransportSettings defaults(String localHost) {
        return new TransportSettings(
                localHost,
                1,
                FrameLimits.DEFAULT,
                1_000,
                1_000,
                4 * FrameLimits.DEFAULT.maxBytes(),
                256,
                50,
                1_000);
    }

    /** Returns the default settings with a frame limit for rule files and 4 MiB log entries. */
    public static TransportSettings forPeers(String localHost) {
        TransportSettings defaults = defaults(localHost);
        FrameLimits limits = new FrameLimits(MAX_PEER_FRAME_BYTES);
        return new TransportSettings(
                localHost,
                defaults.eventLoopThreads(),
                limits,
                defaults.connectTimeoutMillis(),
                defaults.helloTimeoutMillis(),
                4 * limits.maxBytes(),
                defaults.queueCapacity(),
                defaults.minBackoffMillis(),
                defaults.maxBackoffMillis());
    }
}
