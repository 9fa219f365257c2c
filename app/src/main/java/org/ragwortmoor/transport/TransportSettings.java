package org.ragwortmoor.transport;

import org.ragwortmoor.protocol.FrameLimits;

/**
 * Settings of the transports of one process.
 *
 * @param localHost IP number from which connections are opened and on which servers listen
 * @param threads event loop threads
 * @param frameLimits limits of frames
 * @param connectTimeoutMillis longest time to open a TCP connection, in milliseconds
 * @param helloTimeoutMillis longest time until {@code Hello} is answered, in milliseconds
 * @param writeBufferBytes bytes that may wait to be written on one connection
 * @param queueLimit messages that may wait for one peer
 * @param minBackoffMillis shortest time before a peer is connected again, in milliseconds
 * @param maxBackoffMillis longest time before a peer is connected again, in milliseconds
 */
public record TransportSettings(
        String localHost,
        int threads,
        FrameLimits frameLimits,
        int connectTimeoutMillis,
        int helloTimeoutMillis,
        int writeBufferBytes,
        int queueLimit,
        int minBackoffMillis,
        int maxBackoffMillis) {
    /** A log entry has 4 MiB at most; the rest is room for the message around it. */
    private static final int PEER_FRAME_BYTES = 5 << 20;

    /**
     * Returns the defaults: timeouts of 1 s, the time after which a silent connection counts as
     * dead; buffers of four of the largest frames; a queue of 256 messages, some seconds of
     * heartbeats; backoff between 50 ms and 1 s, short against a failover of 2 s.
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

    /** Returns the defaults for processes that exchange rule files and log entries of 4 MiB. */
    public static TransportSettings forPeers(String localHost) {
        TransportSettings defaults = defaults(localHost);
        FrameLimits limits = new FrameLimits(PEER_FRAME_BYTES);
        return new TransportSettings(
                localHost,
                defaults.threads(),
                limits,
                defaults.connectTimeoutMillis(),
                defaults.helloTimeoutMillis(),
                4 * limits.maxBytes(),
                defaults.queueLimit(),
                defaults.minBackoffMillis(),
                defaults.maxBackoffMillis());
    }
}
