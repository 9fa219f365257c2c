package org.ragwortmoor.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.coordination.engine.Counter;
import org.ragwortmoor.coordination.quota.QuotaHost;
import org.ragwortmoor.directory.AnnouncementGate;
import org.ragwortmoor.directory.DecisionLogger;
import org.ragwortmoor.directory.LimitMetrics;
import org.ragwortmoor.directory.QuotaMetrics;
import org.ragwortmoor.directory.TrafficMetrics;
import org.ragwortmoor.transport.TransportMetrics;

/** Guards against metrics without a line on the page, and alarms on metrics that do not exist. */
class MetricsPageTest {
    private static final Path DOCS = Path.of("..", "docs");
    private static final Path ALARMS = DOCS.resolve("alarms");
    private static final String INDEX = "README.md";
    private static final Pattern NAME = Pattern.compile("`(ragwortmoor_[a-z_]+)`");
    private static final Pattern ROW =
            Pattern.compile(
                    "^\\| `(ragwortmoor_[a-z_]+)` \\| (\\w+) \\| ([^|]+) \\| [^|]+ \\| (.+) \\|$",
                    Pattern.MULTILINE);

    @TempDir static Path folder;

    private static List<String> registered;

    /** Metrics with labels have a value, and so a type and a help text, once they were used. */
    @BeforeAll
    static void scrape() throws IOException {
        PrometheusRegistry registry = new PrometheusRegistry();
        TransportMetrics transport = new TransportMetrics(registry);
        transport.frames("p", "in");
        transport.bytes("p", "in");
        transport.errors("p", "kind");
        transport.droppedMessages("p");
        DecisionLogger decisions = new DecisionLogger(registry, System::nanoTime);
        decisions.statement("id", "database", "server", "ok", "", Option.none(), 1, 1);
        decisions.forwardedStatement("id", "proxy", "server", "ok", "", Option.none(), 1, 1);
        decisions.connectionLost("group", "server", "reason");
        decisions.connectionOpening("demand");
        decisions.idleConnectionClosed("replaced");
        decisions.serverAnswered("signed");
        decisions.answerMismatched("group", "server", "kind", "id", "message");
        decisions.keyRefused("unknown");
        new QuotaMetrics(registry).decided(QuotaHost.Decision.PERMITTED);
        LimitMetrics limits = new LimitMetrics(registry);
        limits.paused("callers");
        limits.closed(new InetSocketAddress("127.0.0.1", 1), "callers", "sessions");
        new TrafficMetrics(registry);
        new AnnouncementGate(registry, System::currentTimeMillis, System::nanoTime)
                .recordUnreadable("server", "reason");
        Set<String> found = new TreeSet<>(described(MetricsText.of(registry)));
        EmbeddedDeployment.Shape shape =
                EmbeddedDeployment.Shape.carritos().withSizes(List.of("fleet-colina"), 1, 1);
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape, folder)) {
            EmbeddedDeploymentTest.awaitReady(deployment.proxyAddresses());
            deployment.proxies().values().forEach(p -> found.addAll(described(p.metrics())));
            deployment.controls().values().forEach(c -> found.addAll(described(c.metrics())));
        }
        registered = List.copyOf(found);
    }

    /** Returns "name type help" of each metric of a text in the Prometheus format. */
    private static List<String> described(String text) {
        Pattern metric =
                Pattern.compile("# HELP (\\w+) (.+)\n# TYPE \\1 (\\w+)\n", Pattern.MULTILINE);
        return metric.matcher(text)
                .results()
                .map(m -> m.group(1) + " " + m.group(3) + " " + m.group(2))
                .toList();
    }

    @Test
    void everyRegisteredMetricIsListedWithTypeUnitAndMeaningAndNoOther() throws IOException {
        List<MatchResult> rows =
                ROW.matcher(Files.readString(DOCS.resolve("metrics.md"))).results().toList();
        assertThat(rows.stream().map(r -> r.group(1) + " " + r.group(2) + " " + r.group(4)))
                .containsExactlyInAnyOrderElementsOf(registered);
        assertThat(rows).allMatch(r -> !r.group(3).isBlank());
    }

    /** A metric of a class that the test above does not use would escape it. */
    @Test
    void metricsAreNamedOnlyInTheClassesThatTheTestUses() throws IOException {
        try (Stream<Path> sources = Files.walk(Path.of("src", "main", "java"))) {
            Set<String> naming = new TreeSet<>();
            for (Path source : sources.filter(Files::isRegularFile).toList()) {
                if (Files.readString(source).contains(".name(\"ragwortmoor_")) {
                    naming.add(source.getFileName().toString());
                }
            }
            assertThat(naming)
                    .containsExactly(
                            "AnnouncementGate.java",
                            "ControlMetrics.java",
                            "DecisionLogger.java",
                            "LimitMetrics.java",
                            "ProxyMetrics.java",
                            "QuotaMetrics.java",
                            "TrafficMetrics.java",
                            "TransportMetrics.java");
        }
        assertThat(registered).hasSize(namedMetrics());
    }

    @Test
    void everyAlarmNamesItsMetricAndItsSectionsAndIsInTheIndex() throws IOException {
        List<String> names =
                registered.stream().map(line -> line.substring(0, line.indexOf(' '))).toList();
        String index = Files.readString(ALARMS.resolve(INDEX));
        List<Path> pages;
        try (Stream<Path> found = Files.list(ALARMS)) {
            pages = found.filter(p -> !p.endsWith(INDEX)).sorted().toList();
        }
        assertThat(pages).isNotEmpty();
        Set<String> watched = new TreeSet<>();
        for (Path page : pages) {
            String text = Files.readString(page);
            assertThat(text)
                    .as("%s", page)
                    .contains("## Meaning", "## What callers notice")
                    .contains("## What to look at", "## What to do")
                    .containsPattern("\nMetric: `ragwortmoor_[a-z_]+`\n");
            List<String> mentioned = NAME.matcher(text).results().map(m -> m.group(1)).toList();
            assertThat(names).as("%s", page).containsAll(mentioned);
            watched.add(mentioned.get(0));
            assertThat(index)
                    .contains("](" + page.getFileName() + ") | `" + mentioned.get(0) + "`");
        }
        assertThat(index.lines().filter(l -> l.startsWith("| ["))).hasSize(pages.size());
        assertThat(watched).contains("ragwortmoor_control_ready", "ragwortmoor_rules_lease_valid");
    }

    /** Metrics without a value are missing from the text, so the names in the code are counted. */
    private static int namedMetrics() throws IOException {
        int named = 0;
        try (Stream<Path> sources = Files.walk(Path.of("src", "main", "java"))) {
            for (Path source : sources.filter(Files::isRegularFile).toList()) {
                named += Files.readString(source).split("\\.name\\(\"ragwortmoor_", -1).length - 1;
            }
        }
        return named;
    }

    /** An alarm on an event that no engine counts would never be raised. */
    @Test
    void theEventsThatAlarmsNameAreCounted() throws IOException {
        Set<String> events = new TreeSet<>();
        for (Counter counter : Counter.values()) {
            events.add(counter.name().toLowerCase(java.util.Locale.ROOT));
        }
        Pattern event = Pattern.compile("events? `([a-z_]+)`");
        try (Stream<Path> found = Files.list(ALARMS)) {
            for (Path page : found.toList()) {
                String text = Files.readString(page).replaceAll("\\s+", " ");
                assertThat(events)
                        .as("%s", page)
                        .containsAll(event.matcher(text).results().map(m -> m.group(1)).toList());
            }
        }
    }
}
