package org.ragwortmoor.daemon;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Publishes the state of a control process as metrics, computed when they are asked for. */
final class ControlMetrics {
    private ControlMetrics() {}

    static void register(
            PrometheusRegistry registry, BooleanSupplier ready, LongSupplier commitIndex) {
        GaugeWithCallback.builder()
                .name("ragwortmoor_control_ready")
                .help("1 while this process leads and answers")
                .callback(sink -> sink.call(ready.getAsBoolean() ? 1 : 0))
                .register(registry);
        GaugeWithCallback.builder()
                .name("ragwortmoor_control_commit_index")
                .help("Last committed index of the replicated log")
                .callback(sink -> sink.call(commitIndex.getAsLong()))
                .register(registry);
    }
}
