package org.ragwortmoor.directory;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.ragwortmoor.coordination.quota.QuotaHost;

/** Counts what a proxy decides about the operations of limited workspaces. */
public final class QuotaMetrics {
    private final Counter operations;

    /** Creates the counter and registers it. */
    public QuotaMetrics(PrometheusRegistry registry) {
        operations =
                Counter.builder()
                        .name("ragwortmoor_quota_operations_total")
                        .help("Operations of limited workspaces by decision")
                        .labelNames("decision")
                        .withoutExemplars()
                        .register(registry);
    }

    /** Counts a decision. */
    public void decided(QuotaHost.Decision decision) {
        operations.labelValues(label(decision)).inc();
    }

    static String label(QuotaHost.Decision decision) {
        return decision.name().toLowerCase(Locale.ROOT);
    }
}
