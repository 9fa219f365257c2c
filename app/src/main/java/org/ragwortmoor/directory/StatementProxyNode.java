package org.ragwortmoor.directory;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.coordination.session.HolderLink;
import org.ragwortmoor.coordination.session.ProxyIdentity;
import org.ragwortmoor.coordination.session.SessionEngine;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.transport.CallerGuard;
import org.ragwortmoor.transport.ForwardingClient;
import org.ragwortmoor.transport.ForwardingServer;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.StatementClient;
import org.ragwortmoor.transport.StatementServer;
import org.ragwortmoor.transport.TransportMetrics;
import org.ragwortmoor.transport.TransportSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A proxy of the statement protocol. Sessions, server connections and reports run on one event
 * loop.
 */
public final class StatementProxyNode implements AutoCloseable {
    /** Time in which a load balancer detects that the proxy is not ready. */
    private static final long READINESS_DETECTION_MILLIS = 2_300;

    /** Fraction of the grace period after which a planned stop aborts idle transactions. */
    private static final double ABORT_GRACE_FRACTION = 0.55;

    /** Interval between checks for idle sessions during a planned stop. */
    private static final long IDLE_CHECK_INTERVAL_MILLIS = 100;

    /** Callers are checked every 0.25 s; their time limits are seconds. */
    private static final int TICKS_PER_CALLER_CHECK = 5;

    /** Part of the grace period that is reserved for closing the process. */
    private static final long CLOSE_RESERVE_MILLIS = 400;

    private static final Logger LOG = LoggerFactory.getLogger(StatementProxyNode.class);

    private final StatementProxySettings settings;
    private final EventLoop loop;
    private final SessionEngine engine;
    private final TrafficMetrics traffic;
    private final ForwardingClient links;
    private final ForwardingServer forwarding;
    private final DirectoryClient directory;
    private final ProxyQuotas quotas;
    private final PeerClient peers;
    private final CallerGuard callers;
    private final StatementServer server;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private long tickCount;

    /**
     * Starts the proxy.
     *
     * @param listening socket bound to the statement address
     * @param loops an event loop group with one loop
     * @param guards limits on connections
     * @param registry registry for the metrics
     * @throws IOException if the socket cannot be used
     */
    public StatementProxyNode(
            StatementProxySettings settings,
            ServerSocketChannel listening,
            EventLoopGroup loops,
            ConnectionGuards guards,
            PrometheusRegistry registry)
            throws IOException {
        LOG.info("event=start role=statement-proxy {}", settings.summary());
        this.settings = settings;
        this.loop = loops.next();
        String host = settings.statementAddress().ip().getHostAddress();
        ProxyIdentity self = new ProxyIdentity(settings.name(), settings.failureDomain());
        traffic = new TrafficMetrics(registry);
        links = new ForwardingClient(loop, settings.name(), host, this::receivedThrough);
        engine =
                new SessionEngine(
                        new NodeSessionHost(new StatementClient(loops, host)),
                        self,
                        new DecisionLogger(registry, System::nanoTime));
        engine.setKeyRevocationLimit(settings.keyRevocationMillis());
        forwarding =
                new ForwardingServer(
                        loops,
                        host,
                        settings.peerPort(),
                        engine::acceptForwarding,
                        (from, report, reply) -> directory().relay(from, report, reply),
                        guards.peers());
        directory =
                new DirectoryClient(
                        self,
                        host + ":" + settings.peerPort(),
                        engine,
                        new MemberAddresses(settings.peerPort()),
                        settings.seeds(),
                        new RelayedReports(links),
                        this::updateView);
        quotas =
                new ProxyQuotas(
                        settings.quotaWindowSeconds(), loop, directory::reportNow, registry);
        directory.setQuotas(quotas);
        engine.setOperationGate(quotas.gate());
        peers =
                PeerClient.onSharedLoop(
                        TransportSettings.forPeers(host),
                        settings.name(),
                        loops,
                        directory,
                        new TransportMetrics(registry),
                        new Random());
        directory.start(peers);
        callers = guards.callers(settings.callers());
        server = new StatementServer(loops, listening, callers, engine::accept);
        long tick = SessionEngine.tickNanos();
        loop.scheduleAtFixedRate(this::tick, 0, tick, TimeUnit.NANOSECONDS);
    }

    private void updateView(DirectoryView view) {
        quotas.update(view);
        engine.update(view);
    }

    private DirectoryClient directory() {
        return directory;
    }

    private void receivedThrough(String proxy, ByteString message) {
        directory.receivedThrough(proxy, message);
    }

    private void tick() {
        try {
            tickCount++;
            engine.tick();
            links.tick();
            directory.tick();
            if (tickCount % TICKS_PER_CALLER_CHECK == 0) {
                callers.tick();
            }
            engine.setDirectoryReachable(directory.leaderResponsive());
        } catch (RuntimeException | OutOfMemoryError e) {
            // An error that is not caught would end the periodic task: without it there are no
            // reports and no leases, and every statement gets "no server was free" from then on.
            LOG.error("event=tick_failed outcome=continues", e);
        }
    }

    /** Returns whether statements can be served. Must be called on the event loop. */
    public boolean ready() {
        return engine.ready();
    }

    /** Replaces the seeds after a change of the settings. */
    public void setSeeds(List<String> seeds) {
        loop.execute(
                () -> {
                    LOG.info("event=reload seeds={}", seeds);
                    directory.setSeeds(seeds);
                });
    }

    /** Returns the state as text lines, for the state dump. */
    public List<String> dump() {
        List<String> lines = new ArrayList<>();
        lines.add(
                "view routes="
                        + engine.view().routes().version()
                        + " revisions="
                        + engine.view().routesRevision()
                        + "/"
                        + engine.view().serversRevision());
        lines.add("sessions=" + engine.sessionCount() + " waiting=" + engine.waitingCount());
        lines.add(
                "callers sessions="
                        + callers.budget().sessions()
                        + " unconnected="
                        + callers.budget().unconnectedSessions()
                        + " bytes="
                        + callers.budget().totalBytes());
        lines.add("forwarded=" + engine.forwardedCount());
        lines.addAll(engine.describe());
        lines.addAll(links.describe());
        lines.addAll(quotas.describe());
        return lines;
    }

    /**
     * Begins a planned stop. The proxy reports that it is not ready, serves requests until the load
     * balancer has detected this, then closes sessions as they become idle.
     *
     * @return a future that completes when no session is left or the grace period ends
     */
    public CompletableFuture<Void> stop() {
        loop.execute(
                () -> {
                    LOG.info("event=stop sessions={}", engine.sessionCount());
                    engine.stop();
                    long grace = settings.stopMillis();
                    long detection = Math.min(READINESS_DETECTION_MILLIS, grace / 2);
                    scheduleAfter(detection, this::closeIdle);
                    scheduleAfter(
                            (long) (grace * ABORT_GRACE_FRACTION), engine::abortIdleTransactions);
                    scheduleAfter(grace - CLOSE_RESERVE_MILLIS, () -> stopped.complete(null));
                });
        return stopped;
    }

    private void closeIdle() {
        engine.closeIdleSessions();
        if (engine.sessionCount() == 0 && engine.forwardedCount() == 0) {
            stopped.complete(null);
        } else {
            scheduleAfter(IDLE_CHECK_INTERVAL_MILLIS, this::closeIdle);
        }
    }

    private void scheduleAfter(long millis, Runnable task) {
        loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        LOG.info("event=stopped sessions={} ticks={}", engine.sessionCount(), tickCount);
        server.close();
        forwarding.close();
        peers.close();
    }

    private final class NodeSessionHost implements SessionHost {
        private final StatementClient client;

        NodeSessionHost(StatementClient client) {
            this.client = client;
        }

        @Override
        public long now() {
            return System.nanoTime();
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public Timer schedule(long deadline, Runnable task) {
            ScheduledFuture<?> scheduled =
                    loop.schedule(
                            () -> runAndLogFailure(task),
                            Math.max(0, deadline - System.nanoTime()),
                            TimeUnit.NANOSECONDS);
            return () -> scheduled.cancel(false);
        }

        private void runAndLogFailure(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException | OutOfMemoryError e) {
                LOG.error("event=task_failed", e);
            }
        }

        @Override
        public HolderLink link(String proxy, String address) {
            return links.link(proxy, address);
        }

        @Override
        public ServerLink connect(ServerRecord record, ServerLinkListener listener) {
            boolean ownDomain = record.failureDomain().equals(settings.failureDomain());
            return client.connect(record.address(), listener, traffic.ofDomain(ownDomain));
        }
    }
}
