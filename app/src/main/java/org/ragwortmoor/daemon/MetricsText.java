package org.ragwortmoor.daemon;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Writes a registry in the Prometheus text format. */
public final class MetricsText {
    private MetricsText() {}

    /** Returns the text. */
    public static String of(PrometheusRegistry registry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(bytes, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory cannot fail", e);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
