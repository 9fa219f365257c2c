package org.ragwortmoor.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.ragwortmoor.coordination.consensus.ConsensusEvent;
import org.ragwortmoor.coordination.consensus.ReplicatedLog;
import org.ragwortmoor.coordination.control.ControlDump;
import org.ragwortmoor.http.HttpServer;
import org.ragwortmoor.http.ProcessApi;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;
import org.ragwortmoor.state.log.FileStorage;
import org.ragwortmoor.state.log.LogSettings;
import org.ragwortmoor.state.log.StorageError;
import org.ragwortmoor.state.log.StorageException;
import org.ragwortmoor.transport.ConnectionGuard;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.PeerServer;
import org.ragwortmoor.transport.TransportMetrics;
import org.ragwortmoor.transport.TransportSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A control process: replicated state, leader's decisions, peers and the operators' HTTP API. */
public final class ControlNode implements ProcessApi, AutoCloseable {
    private static final long STOP_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long STOP_POLL_MILLIS = 50;

    private static final Logger LOG = LoggerFactory.getLogger(ControlNode.class);

    private final ControlConfig config;
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final Workers workers;
    private final ScheduledThreadPoolExecutor thread;
    private final FileStorage storage;
    private final ReplicatedLog log;
    private final ControlLoop loop;
    private final PeerServer server;
    private final PeerClient peers;
    private final EndpointCaller endpoints;
    private final HttpServer http;

    private ControlNode(ControlConfig config, FileStorage storage, Opened opened)
            throws IOException {
        this.config = config;
        this.storage = storage;
        this.log = opened.log;
        workers = new Workers(config.nodeId(), 1);
        thread = new ScheduledThreadPoolExecutor(1, task -> daemon(task, config.nodeId()));
        loop = new ControlLoop(thread, log, opened.machine, config.members());
        log.notices().forEach(notice -> LOG.warn("recovery: {}", notice));
        TransportMetrics transportMetrics = new TransportMetrics(registry);
        TransportSettings transport = TransportSettings.forPeers(config.peerHost());
        peers =
                new PeerClient(
                        transport,
                        config.nodeId(),
                        workers.pool(),
                        loop,
                        transportMetrics,
                        random());
        endpoints =
                new EndpointCaller(
                        transport,
                        thread,
                        transportMetrics,
                        config.nodeId(),
                        (event, now) -> loop.endpointEvent(event));
        ControlMetrics.register(
                registry,
                loop::ready,
                () -> onLoop(() -> log.status(System.nanoTime()).commitIndex()));
        http =
                HttpServer.start(
                        config.httpHost(),
                        config.httpPort(),
                        config.maxRequestBytes(),
                        new OperatorService(loop, workers.timer(), config.httpAddresses()),
                        this);
        loop.failure().whenComplete((done, e) -> stopped.completeExceptionally(e));
        loop.start(peers::send, endpoints);
        // Messages are accepted last, when everything that they can cause is in place.
        server =
                new PeerServer(
                        transport,
                        config.peerPort(),
                        config.nodeId(),
                        workers.pool(),
                        loop,
                        transportMetrics,
                        ConnectionGuard.unlimited());
        LOG.info(
                "control process {} in {} serves peers on port {} and HTTP on port {}",
                config.nodeId(),
                config.failureDomain(),
                server.port(),
                http.port());
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name + "-loop");
        thread.setDaemon(true);
        return thread;
    }

    private static RandomGenerator random() {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(new SecureRandom().nextLong());
    }

    /**
     * Starts a control process.
     *
     * @return the process, or the reason with its remedy if its files are damaged or in use
     * @throws IOException if an address cannot be listened on; choose another one
     */
    public static Either<String, ControlNode> start(ControlConfig config) throws IOException {
        FileStorage storage;
        try {
            storage = FileStorage.open(config.dataFolder());
        } catch (StorageException e) {
            return Either.left(e.getMessage());
        }
        ControlMachine machine = new ControlMachine(config.failureDomain(), System::nanoTime);
        Either<StorageError, ReplicatedLog> log =
                ReplicatedLog.open(
                        storage,
                        config.nodeId(),
                        new SecureRandom()::nextLong,
                        LogSettings.DEFAULT,
                        config.consensus(),
                        machine,
                        random(),
                        System.nanoTime(),
                        System.nanoTime());
        if (log.isLeft()) {
            storage.close();
            return Either.left(log.getLeft().message());
        }
        return Either.right(new ControlNode(config, storage, new Opened(log.get(), machine)));
    }

    /** The recovered log and its state machine. */
    private record Opened(ReplicatedLog log, ControlMachine machine) {}

    /** Returns the port of the HTTP API. */
    public int httpPort() {
        return http.port();
    }

    /** Returns the port for other processes. */
    public int peerPort() {
        return server.port();
    }

    /** Returns a future that completes when a planned stop is complete. */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    @Override
    public boolean ready() {
        return !draining.get() && onLoop(() -> log.failure().isEmpty());
    }

    @Override
    public Object status() {
        return onLoop(
                () -> {
                    ControlDump dump = loop.machine().core().dump();
                    Map<String, Object> status = new LinkedHashMap<>();
                    status.put("role", "control");
                    status.put("name", config.nodeId());
                    status.put("failureDomain", config.failureDomain());
                    status.put("leads", dump.ready());
                    status.put("leader", log.leader().map(Object::toString).getOrNull());
                    status.put("failure", log.failure().map(StorageError::message).getOrNull());
                    status.put("rulesVersion", dump.rulesVersion());
                    status.put("rulesInForce", dump.rulesInForce());
                    status.put(
                            "rulesAwaitConfirmation",
                            loop.machine().state().rules().awaitsConfirmation());
                    status.put("pendingRulesVersion", dump.pendingVersion().getOrElse(0L));
                    status.put("waitingFor", dump.waitingFor());
                    status.put("notInForceOn", dump.notInForceOn());
                    status.put("proxies", dump.members().stream().map(Object::toString).toList());
                    status.put("freshReporters", dump.freshReporters());
                    status.put("groups", dump.groups().stream().map(ControlNode::group).toList());
                    return status;
                });
    }

    private static Map<String, Object> group(ControlDump.GroupDump dump) {
        GroupView view = dump.view();
        Map<String, Object> group = new LinkedHashMap<>();
        group.put("group", view.group());
        group.put("term", view.term());
        group.put("primary", view.primary().getOrNull());
        group.put("begunTerm", dump.begunTerm());
        group.put("reason", dump.reason());
        group.put("waiting", dump.waiting());
        List<EndpointInfo> endpoints = new ArrayList<>(view.endpoints());
        group.put("endpoints", endpoints);
        return group;
    }

    @Override
    public Object dump() {
        Map<String, Object> dump = new LinkedHashMap<>();
        dump.put("status", status());
        dump.put("config", config.toString());
        dump.put("log", onLoop(() -> log.dump(System.nanoTime()).lines().toList()));
        dump.put("uncounted", onLoop(() -> loop.machine().core().dump().uncounted().toString()));
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
        LOG.info("planned stop: handing over leadership");
        loop.run(
                () ->
                        log.handle(new ConsensusEvent.TransferLeadership(), System.nanoTime())
                                .forEach(loop::perform));
        awaitHandover(System.nanoTime() + STOP_NANOS);
    }

    private void awaitHandover(long deadline) {
        if (!loop.ready() || System.nanoTime() - deadline > 0) {
            stopped.complete(null);
            return;
        }
        workers.timer()
                .schedule(() -> awaitHandover(deadline), STOP_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private <T> T onLoop(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.run(() -> result.complete(task.get()));
        return result.orTimeout(5, TimeUnit.SECONDS).join();
    }

    @Override
    public void close() {
        http.close();
        server.close();
        peers.close();
        endpoints.close();
        thread.shutdownNow();
        workers.close();
        try {
            thread.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.close();
        storage.close();
    }
}
