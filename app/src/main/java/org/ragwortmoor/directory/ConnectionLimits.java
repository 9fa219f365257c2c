package org.ragwortmoor.directory;

import java.util.List;
import org.ragwortmoor.settings.Setting;
import org.ragwortmoor.settings.SettingValues;
import org.ragwortmoor.settings.ValueTypes;

/**
 * Limits on connections of other processes and of HTTP clients. 0 stands for a limit that is
 * derived from the resources of the process.
 *
 * @param peerConnections maximum number of connections of other processes
 * @param peerBytes maximum number of bytes of their incomplete frames
 * @param httpConnections maximum number of connections to each address for probes and metrics
 */
public record ConnectionLimits(int peerConnections, long peerBytes, int httpConnections) {
    /** Limits that are all derived. */
    public static final ConnectionLimits DERIVED = new ConnectionLimits(0, 0, 0);

    private static final int MAX_CONNECTIONS = 100_000;
    private static final int MIN_PEER_CONNECTIONS = 16;
    private static final int MIN_HTTP_CONNECTIONS = 8;
    private static final int PEER_SHARE = 16;
    private static final int HTTP_SHARE = 32;
    private static final int PEER_HEAP_SHARE = 4;

    private static final Setting<Long> PEERS =
            Setting.of(
                    "peer-connections",
                    ValueTypes.number(0, MAX_CONNECTIONS),
                    "connections",
                    "0",
                    "Connections of other processes; 0 stands for a sixteenth of the free"
                            + " descriptors, at least 16. A new one displaces the one without a"
                            + " frame for longest.");
    private static final Setting<Long> PEER_BYTES =
            Setting.of(
                    "peer-bytes",
                    ValueTypes.number(0, 1L << 40),
                    "bytes",
                    "0",
                    "Incomplete frames of other processes; 0 stands for a quarter of the heap."
                            + " Beyond it, the connection that holds most is closed.");
    private static final Setting<Long> HTTP =
            Setting.of(
                    "http-connections",
                    ValueTypes.number(0, MAX_CONNECTIONS),
                    "connections",
                    "0",
                    "Connections to each address for probes and metrics; 0 stands for a"
                            + " thirty-second of the free descriptors, at least 8. A new one"
                            + " displaces the one without a request for longest.");

    static List<Setting<?>> settings() {
        return List.of(PEERS, PEER_BYTES, HTTP);
    }

    static ConnectionLimits of(SettingValues values) {
        return new ConnectionLimits(
                values.number(PEERS), values.value(PEER_BYTES), values.number(HTTP));
    }

    /** Replaces limits of 0 by those that are derived from the resources. */
    ConnectionLimits derive(ProcessResources resources) {
        int free = resources.freeDescriptors();
        return new ConnectionLimits(
                or(peerConnections, Math.max(MIN_PEER_CONNECTIONS, free / PEER_SHARE)),
                or(peerBytes, resources.heapBytes() / PEER_HEAP_SHARE),
                or(httpConnections, Math.max(MIN_HTTP_CONNECTIONS, free / HTTP_SHARE)));
    }

    static int or(int configured, int derived) {
        return configured == 0 ? derived : configured;
    }

    static long or(long configured, long derived) {
        return configured == 0 ? derived : configured;
    }
}
