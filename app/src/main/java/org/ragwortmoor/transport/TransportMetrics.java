package org.ragwortmoor.transport;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Prometheus counters of the transports of one process.
 *
 * <p>The label {@code peer} is an address or identifier of a process of the same deployment, which
 * bounds the number of time series.
 */
public final class TransportMetrics {
    /** Direction label of received frames and bytes. */
    static final String IN = "in";

    /** Direction label of sent frames and bytes. */
    static final String OUT = "out";

    private final Counter frames;
    private final Counter bytes;
    private final Counter errors;
    private final Counter dropped;

    /** Creates the counters and registers them. */
    public TransportMetrics(PrometheusRegistry registry) {
        this.frames =
                Counter.builder()
                        .name("ragwortmoor_transport_frames_total")
                        .help("Frames by peer and direction")
                        .labelNames("peer", "direction")
                        .withoutExemplars()
                        .register(registry);
        this.bytes =
                Counter.builder()
                        .name("ragwortmoor_transport_bytes_total")
                        .help("Bytes of frames by peer and direction, with the length prefix")
                        .labelNames("peer", "direction")
                        .withoutExemplars()
                        .register(registry);
        this.errors =
                Counter.builder()
                        .name("ragwortmoor_transport_errors_total")
                        .help("Failed connections, refused frames and full buffers by peer")
                        .labelNames("peer", "kind")
                        .withoutExemplars()
                        .register(registry);
        this.dropped =
                Counter.builder()
                        .name("ragwortmoor_transport_dropped_messages_total")
                        .help("Messages that left a full queue unsent, by peer")
                        .labelNames("peer")
                        .withoutExemplars()
                        .register(registry);
    }

    void frame(String peer, String direction, int size) {
        frames.labelValues(peer, direction).inc();
        bytes.labelValues(peer, direction).inc(size);
    }

    void error(String peer, String kind) {
        errors.labelValues(peer, kind).inc();
    }

    void dropped(String peer) {
        dropped.labelValues(peer).inc();
    }

    /** Returns the number of frames received from ({@code in}) or sent to ({@code out}) a peer. */
    public double frames(String peer, String direction) {
        return frames.labelValues(peer, direction).get();
    }

    /** Returns the number of bytes received from ({@code in}) or sent to ({@code out}) a peer. */
    public double bytes(String peer, String direction) {
        return bytes.labelValues(peer, direction).get();
    }

    /** Returns the number of errors of a kind with a peer. */
    public double errors(String peer, String kind) {
        return errors.labelValues(peer, kind).get();
    }

    /** Returns the number of messages to a peer that were dropped before they were sent. */
    public double droppedMessages(String peer) {
        return dropped.labelValues(peer).get();
    }
}
