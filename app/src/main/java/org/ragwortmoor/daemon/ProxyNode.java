package org.ragwortmoor.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.ragwortmoor.coordination.engine.EngineDump;
import org.ragwortmoor.http.HttpServer;
import org.ragwortmoor.http.ProcessApi;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.TransportMetrics;
import org.ragwortmoor.transport.TransportSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A proxy: HTTP API, group engines, connections to endpoints and reports to control processes. */
public final class ProxyNode implements ProcessApi, AutoCloseable {
    /**
     * After readiness has turned to 503 the balancer needs some probes to notice; until then the
     * proxy still serves what arrives.
     */
    private static final long BALANCER_NOTICE_MILLIS = 1_500;

    private static final long STOP_POLL_MILLIS = 20;

    private static final Logger LOG = LoggerFactory.getLogger(ProxyNode.class);

    private final ProxyConfig config;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PendingRequests pending = new PendingRequests();
    private final AccessControl access = new AccessControl(System::nanoTime);
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicBoolean refusing = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final Workers workers;
    private final EndpointLinks links;
    private final GroupDirectory groups;
    private final SessionService sessions;
    private final ControlLink control;
    private final HttpServer http;

    private ProxyNode(ProxyConfig config) {
        this.config = config;
        RandomGenerator random =
                RandomGeneratorFactory.of("L64X128MixRandom").create(System.nanoTime());
        TransportSettings transport = TransportSettings.defaults(config.httpHost());
        TransportMetrics transportMetrics = new TransportMetrics(registry);
        workers = new Workers(config.name(), config.workers());
        links = new EndpointLinks(transport, workers.pool(), transportMetrics, config.name());
        groups =
                new GroupDirectory(
                        config.engine(),
                        config.name(),
                        links,
                        pending::complete,
                        workers.timer(),
                        System::nanoTime,
                        access);
        sessions = new SessionService(System::currentTimeMillis, config.sessionLifetimeMillis());
        control =
                new ControlLink(
                        config.controls(),
                        new ReportBuilder(config.name(), random.nextLong(), config.failureDomain()),
                        access,
                        groups,
                        sessions,
                        draining::get,
                        System::nanoTime);
        ProxyMetrics.register(registry, groups, access, pending);
        CallerService callers =
                new CallerService(
                        sessions,
                        access,
                        groups,
                        pending,
                        new RequestFactory(config.times()),
                        System::nanoTime,
                        refusing::get);
        http =
                HttpServer.start(
                        config.httpHost(),
                        config.httpPort(),
                        config.maxRequestBytes(),
                        callers,
                        this);
        control.start(
                new PeerClient(
                        TransportSettings.forPeers(config.httpHost()),
                        config.name(),
                        workers.pool(),
                        control,
                        transportMetrics,
                        random),
                workers.timer());
        LOG.info(
                "proxy {} in {} serves HTTP on port {}",
                config.name(),
                config.failureDomain(),
                http.port());
    }

    /**
     * Starts a proxy.
     *
     * @throws RuntimeException if the HTTP address cannot be listened on; choose another one
     */
    public static ProxyNode start(ProxyConfig config) {
        return new ProxyNode(config);
    }

    /** Returns the port of the HTTP API. */
    public int httpPort() {
        return http.port();
    }

    /** Returns a future that completes when a planned stop is complete. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    @Override
    public boolean ready() {
        return !draining.get() && sessions.ready() && !groups.hosts().isEmpty();
    }

    @Override
    public Object status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("role", "proxy");
        status.put("name", config.name());
        status.put("failureDomain", config.failureDomain());
        status.put("ready", ready());
        status.put("draining", draining.get());
        status.put("rulesVersion", access.activeVersion());
        status.put("pendingRulesVersion", access.preparedVersion());
        status.put("rulesLeaseValid", access.current());
        status.put("requestsInFlight", pending.size());
        status.put("controlUpdates", control.updates());
        status.put(
                "groups",
                groups.hosts().stream().map(GroupHost::dump).map(ProxyNode::summary).toList());
        return status;
    }

    private static Map<String, Object> summary(EngineDump dump) {
        Map<String, Object> summary = new LinkedHashMap<>();
        summary.put("group", dump.group());
        summary.put("term", dump.term());
        summary.put("primary", dump.primary());
        summary.put("confirmed", dump.confirmed().toString());
        summary.put("queuedShort", dump.queuedShort());
        summary.put("queuedLong", dump.queuedLong());
        summary.put("endpoints", dump.endpoints().stream().map(ProxyNode::summary).toList());
        return summary;
    }

    private static Map<String, Object> summary(EngineDump.Endpoint endpoint) {
        Map<String, Object> summary = new LinkedHashMap<>();
        summary.put("endpoint", endpoint.endpoint());
        summary.put("last", endpoint.last().toString());
        summary.put("silentMillis", endpoint.silentMillis());
        summary.put("ageMillis", endpoint.ageMillis());
        summary.put("connections", endpoint.connections());
        summary.put("share", endpoint.share());
        summary.put("leaving", endpoint.leaving());
        return summary;
    }

    @Override
    public Object dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("status", status());
        dump.put("config", config.toString());
        dump.put("rules", access.rules().text());
        dump.put("appliedRulesVersion", access.appliedVersion());
        dump.put("engines", List.copyOf(groups.hosts().stream().map(GroupHost::dump).toList()));
        return dump;
    }

    @Override
    public String metrics() {
        return MetricsText.of(registry);
    }

    @Override
    public void drain() {
        if (!draining.compareAndSet(false, true)) {
            return;
        }
        LOG.info("planned stop: readiness is off, waiting for the balancer");
        workers.timer()
                .schedule(this::refuseNewWork, BALANCER_NOTICE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void refuseNewWork() {
        refusing.set(true);
        LOG.info("planned stop: refusing new work, {} requests in flight", pending.size());
        groups.stop();
        awaitStopped();
    }

    private void awaitStopped() {
        if (groups.stopped() && pending.size() == 0) {
            LOG.info("planned stop: all requests have been answered");
            stopped.complete(null);
            return;
        }
        workers.timer().schedule(this::awaitStopped, STOP_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        http.close();
        control.close();
        groups.close();
        links.close();
        workers.close();
    }
}
