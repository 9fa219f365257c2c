package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.session.HolderLink;
import org.ragwortmoor.coordination.session.ProxyIdentity;
import org.ragwortmoor.coordination.session.SessionEngine;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.transport.ConnectionGuard;
import org.ragwortmoor.transport.ForwardingClient;
import org.ragwortmoor.transport.ForwardingServer;

/** Tests what identifies the reports of a proxy, and what the confirmation of one is worth. */
class DirectoryClientTest {
    private static final String HOST = "127.0.0.1";
    private static final long TICK_MILLIS = 20;
    private static final long WAIT_MILLIS = 20_000;

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final LinkedBlockingQueue<ByteString> reports = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private SessionEngine engine() {
        return new SessionEngine(
                new UnconnectedHost(),
                new ProxyIdentity("edge-1", "a"),
                new DecisionLogger(new PrometheusRegistry(), System::nanoTime));
    }

    private SessionEngine engine = engine();
    private DirectoryClient client;

    /** Starts a process of the proxy and returns the first report that it sends through another. */
    private NodeReportMessage firstReport(int port) throws Exception {
        RelayedReports relayed =
                new RelayedReports(
                        new ForwardingClient(loop, "edge-1", HOST, (proxy, update) -> {}));
        engine = engine();
        client =
                new DirectoryClient(
                        new ProxyIdentity("edge-1", "a"),
                        HOST + ":1",
                        engine,
                        new MemberAddresses(1),
                        List.of(),
                        relayed,
                        engine::update);
        relayed.setCandidates(Map.of("relay", HOST + ":" + port));
        reports.clear();
        var ticks = loop.scheduleAtFixedRate(client::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        ByteString report = reports.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        ticks.cancel(false);
        return DirectoryCodec.decodeMessage(report).get().getReport();
    }

    /** Applies an update on the event loop and returns the line of the state dump about keys. */
    private String keysAfter(DirectoryUpdateMessage.Builder update) throws Exception {
        ByteString message =
                DirectoryMessage.newBuilder()
                        .setUpdate(update.setLeader(true))
                        .build()
                        .toByteString();
        loop.submit(() -> client.receivedThrough("relay", message)).get();
        return engine.describe().get(0);
    }

    /** Keys that were withdrawn in a revision that the proxy lacks would be confirmed. */
    @Test
    void confirmationCountsOnlyForTheRoutesThatWereApplied() throws Exception {
        int port = freePort();
        try (ForwardingServer relay = relay(port)) {
            long id = firstReport(port).getId();
            RouteTable table =
                    new RouteTable(1, List.of(), List.of(), 0, Option.some(List.of()), "");
            assertThat(
                            keysAfter(
                                    DirectoryUpdateMessage.newBuilder()
                                            .setRoutesRevision(3)
                                            .setRoutes(DirectoryCodec.encode(table, false))))
                    .contains("confirmed=false");
            assertThat(
                            keysAfter(
                                    DirectoryUpdateMessage.newBuilder()
                                            .setRoutesRevision(4)
                                            .setConfirmedReportId(id)))
                    .contains("confirmed=false");
            assertThat(
                            keysAfter(
                                    DirectoryUpdateMessage.newBuilder()
                                            .setRoutesRevision(3)
                                            .setConfirmedReportId(id)))
                    .contains("confirmed=true");
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a proxy that keeps the reports that it is asked to pass on. */
    private ForwardingServer relay(int port) throws Exception {
        return new ForwardingServer(
                loops,
                HOST,
                port,
                engine()::acceptForwarding,
                (from, report, reply) -> reports.add(report),
                ConnectionGuard.unlimited());
    }

    /** An answer to the process before a restart would grant a lease that nobody records. */
    @Test
    void reportsOfARestartedProxyHaveNumbersOfTheirOwn() throws Exception {
        int port = freePort();
        try (ForwardingServer relay = relay(port)) {
            NodeReportMessage before = firstReport(port);
            NodeReportMessage after = firstReport(port);
            long distance = Math.abs(before.getId() - after.getId());
            assertThat(distance).isGreaterThan(1_000_000);
            assertThat(before.getId()).isPositive();
            assertThat(after.getIncarnation()).isNotEqualTo(before.getIncarnation());
        }
    }

    /** A host without servers and other proxies. */
    private static final class UnconnectedHost implements SessionHost {
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
            return () -> {};
        }

        @Override
        public ServerLink connect(ServerRecord record, ServerLinkListener listener) {
            throw new UnsupportedOperationException("no servers");
        }

        @Override
        public HolderLink link(String proxy, String address) {
            throw new UnsupportedOperationException("no other proxies");
        }
    }
}
