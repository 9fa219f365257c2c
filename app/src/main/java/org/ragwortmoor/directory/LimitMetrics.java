package org.ragwortmoor.directory;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.SocketAddress;
import org.ragwortmoor.transport.LimitListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts and logs connections that are closed because of a limit. */
public final class LimitMetrics implements LimitListener {
    private static final int LINES_PER_SECOND = 5;

    private static final Logger LOG = LoggerFactory.getLogger(LimitMetrics.class);

    private final Counter closed;
    private final Counter paused;
    private final LineLimit lines = new LineLimit(LINES_PER_SECOND, System::nanoTime);

    /** Creates the counters and registers them. */
    public LimitMetrics(PrometheusRegistry registry) {
        closed =
                Counter.builder()
                        .name("ragwortmoor_connections_limited_total")
                        .help("Connections that were refused or closed, by interface and limit")
                        .labelNames("interface", "limit")
                        .withoutExemplars()
                        .register(registry);
        paused =
                Counter.builder()
                        .name("ragwortmoor_connections_paused_total")
                        .help("How often a connection was not read because of what is held")
                        .labelNames("interface")
                        .withoutExemplars()
                        .register(registry);
    }

    @Override
    public void paused(String interfaceName) {
        paused.labelValues(interfaceName).inc();
    }

    @Override
    public synchronized void closed(SocketAddress peer, String interfaceName, String limit) {
        closed.labelValues(interfaceName, limit).inc();
        if (lines.tryAcquire()) {
            LOG.warn(
                    "event=connection_limited interface={} limit={} peer={} omitted={}",
                    interfaceName,
                    limit,
                    peer,
                    lines.takeOmitted());
        }
    }
}
