package org.ragwortmoor.directory;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.ragwortmoor.transport.CallerGuard;
import org.ragwortmoor.transport.ConnectionGuard;

/** Creates the guards of the interfaces of one process. */
public final class ConnectionGuards {
    /** A probe or a request for metrics has 4 KiB at most. */
    private static final long HTTP_BYTES_PER_CONNECTION = 16 << 10;

    private final ProcessResources resources;
    private final ConnectionLimits limits;
    private final LimitMetrics listener;

    /** Derives the limits from the resources of this process, which must have just started. */
    public ConnectionGuards(ConnectionLimits limits, PrometheusRegistry registry) {
        this.resources = ProcessResources.ofProcess();
        this.limits = limits.derive(resources);
        this.listener = new LimitMetrics(registry);
    }

    /** Returns a guard for an address for probes or metrics. */
    public ConnectionGuard http(String interfaceName) {
        int connections = limits.httpConnections();
        return new ConnectionGuard(
                interfaceName, connections, connections * HTTP_BYTES_PER_CONNECTION, listener);
    }

    /** Returns the guard for servers and operators. */
    public ConnectionGuard control(ControlLimits control) {
        ControlLimits derived = control.derive(resources);
        return new ConnectionGuard("control", derived.connections(), derived.bytes(), listener);
    }

    ConnectionGuard peers() {
        return new ConnectionGuard("peer", limits.peerConnections(), limits.peerBytes(), listener);
    }

    CallerGuard callers(CallerLimitSettings callers) {
        return new CallerGuard(callers.derive(resources), listener);
    }
}
