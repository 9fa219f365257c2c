package org.ragwortmoor.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.coordination.session.Fleet;
import org.ragwortmoor.coordination.session.HolderLink;
import org.ragwortmoor.coordination.session.ProxyIdentity;
import org.ragwortmoor.coordination.session.SessionEngine;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.directory.DecisionLogger;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.routes.RouteTable;

/** Two proxies with the transports of a process, one of which forwards to the other. */
final class LinkedProxies implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_CONNECTIONS = 9;
    private static final int FLEET_PROXIES = 8;
    private static final int FLEET_DOMAINS = 2;
    private static final String FORWARDED = "ragwortmoor_forwarded_statements";

    final List<Proxy> proxies = new ArrayList<>();

    LinkedProxies(String database, String group, String serverId, ByteServer server)
            throws Exception {
        Map<String, String> neighbours = LinkedHashMap.empty();
        for (String name : List.of("edge-1", "edge-2")) {
            Proxy proxy = new Proxy(name);
            proxies.add(proxy);
            neighbours = neighbours.put(name, proxy.peerAddress);
        }
        Route route = new Route("r", database, "/", RouteKind.PRIMARY, group, 10_000, 200, 1, 0);
        RouteTable table =
                new RouteTable(
                        1,
                        List.of(route),
                        List.of(new GroupLimits(group, MAX_CONNECTIONS, 0)),
                        0,
                        "");
        ServerRecord record =
                new ServerRecord(
                        serverId, 1, group, server.address(), "a", 8, ServerState.READY, true, 1);
        Fleet fleet = new Fleet(FLEET_PROXIES, FLEET_DOMAINS, neighbours);
        DirectoryView view = new DirectoryView(table, 1, List.of(record), 1, fleet);
        for (Proxy proxy : proxies) {
            proxy.loop.submit(() -> proxy.engine.update(view)).get();
        }
    }

    /** Opens a session at a proxy. */
    ByteLines connect(int proxy, String database) throws IOException {
        Socket socket = new Socket(HOST, proxies.get(proxy).port);
        ByteLines lines = new ByteLines(socket);
        lines.send("CONNECT " + database + " test");
        return lines;
    }

    @Override
    public void close() {
        proxies.forEach(Proxy::close);
    }

    /** One proxy. */
    static final class Proxy implements SessionHost, AutoCloseable {
        final SessionEngine engine;
        final EventLoop loop;
        final String peerAddress;
        private final EventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final StatementClient client = new StatementClient(loops, HOST);
        private final ForwardingClient links;
        private final ForwardingServer forwarding;
        private final StatementServer server;
        private final int port;
        private final PrometheusRegistry registry = new PrometheusRegistry();

        Proxy(String name) throws Exception {
            loop = loops.next();
            links = new ForwardingClient(loop, name, HOST, (proxy, update) -> {});
            engine =
                    new SessionEngine(
                            this,
                            new ProxyIdentity(name, "a"),
                            new DecisionLogger(registry, System::nanoTime));
            engine.setLeasesRequired(false);
            int peerPort = freePort();
            peerAddress = HOST + ":" + peerPort;
            forwarding =
                    new ForwardingServer(
                            loops,
                            HOST,
                            peerPort,
                            engine::acceptForwarding,
                            (from, report, reply) -> {},
                            ConnectionGuard.unlimited());
            ServerSocketChannel listening = ServerSocketChannel.open();
            listening.bind(new InetSocketAddress(HOST, 0));
            listening.configureBlocking(false);
            port = ((InetSocketAddress) listening.getLocalAddress()).getPort();
            server = new StatementServer(loops, listening, engine::accept);
            long tick = SessionEngine.tickNanos();
            loop.scheduleAtFixedRate(engine::tick, 0, tick, TimeUnit.NANOSECONDS);
        }

        private static int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0)) {
                return socket.getLocalPort();
            }
        }

        /** Returns how many statements this proxy has executed for the other. */
        double executedForOther() {
            return registry.scrape(name -> name.startsWith(FORWARDED)).stream()
                    .flatMap(metric -> metric.getDataPoints().stream())
                    .mapToDouble(point -> ((CounterDataPointSnapshot) point).getValue())
                    .sum();
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
                            task, Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
            return () -> scheduled.cancel(false);
        }

        @Override
        public ServerLink connect(ServerRecord record, ServerLinkListener listener) {
            return client.connect(record.address(), listener);
        }

        @Override
        public HolderLink link(String proxy, String address) {
            return links.link(proxy, address);
        }

        @Override
        public void close() {
            server.close();
            forwarding.close();
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
