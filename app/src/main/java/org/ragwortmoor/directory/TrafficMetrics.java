package org.ragwortmoor.directory;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.ragwortmoor.transport.ByteCounter;

/** Counts the bytes exchanged with servers, which cost more between failure domains. */
public final class TrafficMetrics {
    private final ByteCounter own;
    private final ByteCounter other;

    /** Creates the counters and registers them. */
    public TrafficMetrics(PrometheusRegistry registry) {
        Counter bytes =
                Counter.builder()
                        .name("ragwortmoor_server_bytes_total")
                        .help("Bytes of messages exchanged with servers by direction and domain")
                        .labelNames("direction", "domain")
                        .withoutExemplars()
                        .register(registry);
        own = counter(bytes, "own");
        other = counter(bytes, "other");
    }

    private static ByteCounter counter(Counter bytes, String domain) {
        CounterDataPoint in = bytes.labelValues("in", domain);
        CounterDataPoint out = bytes.labelValues("out", domain);
        return new ByteCounter() {
            @Override
            public void received(int count) {
                in.inc(count);
            }

            @Override
            public void sent(int count) {
                out.inc(count);
            }
        };
    }

    /** Returns the counter for servers in the own failure domain, or in others. */
    ByteCounter ofDomain(boolean ownDomain) {
        return ownDomain ? own : other;
    }
}
