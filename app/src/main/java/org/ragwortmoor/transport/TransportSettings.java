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
}
