package org.ragwortmoor.daemon;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.ragwortmoor.coordination.engine.EngineDump;

/** Publishes the state of a proxy's engines as metrics, computed when they are asked for. */
final class ProxyMetrics {
    private ProxyMetrics() {}

    static void register(
            PrometheusRegistry registry,
            GroupDirectory groups,
            AccessControl access,
            PendingRequests pending) {
        CounterWithCallback.builder()
                .name("ragwortmoor_engine_events_total")
                .help("Events counted by the engine of each group")
                .labelNames("group", "event")
                .callback(
                        sink ->
                                groups.hosts()
                                        .forEach(
                                                host -> {
                                                    EngineDump dump = host.dump();
                                                    dump.counters()
                                                            .forEach(
                                                                    (event, count) ->
                                                                            sink.call(
                                                                                    count,
                                                                                    dump.group(),
                                                                                    lower(event)));
                                                }))
                .register(registry);
        GaugeWithCallback.builder()
                .name("ragwortmoor_requests_in_flight")
                .help("Requests that wait for an answer")
                .callback(sink -> sink.call(pending.size()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("ragwortmoor_rules_version")
                .help("Active rules version; -1 before the first")
                .callback(sink -> sink.call(access.activeVersion()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("ragwortmoor_rules_lease_valid")
                .help("1 while the rules lease is valid, otherwise scoped records are held back")
                .callback(sink -> sink.call(access.current() ? 1 : 0))
                .register(registry);
        GaugeWithCallback.builder()
                .name("ragwortmoor_endpoint_connections")
                .help("Open connections per endpoint")
                .labelNames("group", "endpoint")
                .callback(
                        sink ->
                                groups.hosts()
                                        .forEach(
                                                host -> {
                                                    EngineDump dump = host.dump();
                                                    dump.endpoints()
                                                            .forEach(
                                                                    e ->
                                                                            sink.call(
                                                                                    e.connections(),
                                                                                    dump.group(),
                                                                                    e.endpoint()));
                                                }))
                .register(registry);
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
