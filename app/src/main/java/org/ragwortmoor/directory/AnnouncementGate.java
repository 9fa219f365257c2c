package org.ragwortmoor.directory;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Option;
import java.util.function.LongSupplier;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerRecordCheck;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Refuses announcements that are out of bounds, and logs and counts what is refused. */
public final class AnnouncementGate {
    private static final int LINES_PER_SECOND = 5;

    /** Longest part of a foreign text in a log line. */
    private static final int MAX_LOGGED_LENGTH = 100;

    private static final Logger LOG = LoggerFactory.getLogger(AnnouncementGate.class);

    private final LongSupplier wallMillis;
    private final LineLimit lines;
    private final Counter refused;

    /**
     * Creates a gate and registers its counter.
     *
     * @param wallMillis wall clock, in milliseconds since the epoch
     * @param nanos monotonic clock, in nanoseconds, for the rate limit of the log
     */
    public AnnouncementGate(
            PrometheusRegistry registry, LongSupplier wallMillis, LongSupplier nanos) {
        this.wallMillis = wallMillis;
        this.lines = new LineLimit(LINES_PER_SECOND, nanos);
        this.refused =
                Counter.builder()
                        .name("ragwortmoor_announcements_refused_total")
                        .help("Announcements of servers that were refused, by kind of problem")
                        .labelNames("kind")
                        .withoutExemplars()
                        .register(registry);
    }

    /** Returns why an announcement is refused, if it is. */
    Option<String> problem(ServerRecord server) {
        Option<String> problem = ServerRecordCheck.firstProblem(server, wallMillis.getAsLong());
        problem.forEach(reason -> record("out_of_bounds", server.id(), reason));
        return problem;
    }

    /** Logs and counts an announcement that could not be read. */
    public void recordUnreadable(String server, String reason) {
        record("unreadable", server, reason);
    }

    private void record(String kind, String server, String reason) {
        refused.labelValues(kind).inc();
        if (lines.tryAcquire()) {
            LOG.info(
                    "event=announcement_refused kind={} server={} reason=\"{}\" omitted={}",
                    kind,
                    shortened(server),
                    shortened(reason),
                    lines.takeOmitted());
        }
    }

    private static String shortened(String text) {
        return text.length() <= MAX_LOGGED_LENGTH
                ? text
                : text.substring(0, MAX_LOGGED_LENGTH) + "...";
    }
}
