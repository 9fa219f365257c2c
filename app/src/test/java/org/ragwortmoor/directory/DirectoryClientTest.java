package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
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
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.transport.ConnectionGuard;
import org.ragwortmoor.transport.ForwardingClient;
import org.ragwortmoor.transport.ForwardingServer;

/** Tests what identifies the reports of a proxy. */
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

    /** Starts a process of the proxy and returns the first report that it sends through another. */
    private NodeReportMessage firstReport(int port) throws Exception {
        RelayedReports relayed =
                new RelayedReports(
                        new ForwardingClient(loop, "edge-1", HOST, (proxy, update) -> {}));
        DirectoryClient client =
                new DirectoryClient(
                        new ProxyIdentity("edge-1", "a"),
                        HOST + ":1",
                        engine(),
                        new MemberAddresses(1),
                        List.of(),
                        relayed,
                        view -> {});
        relayed.setCandidates(Map.of("relay", HOST + ":" + port));
        reports.clear();
        var ticks = loop.scheduleAtFixedRate(client::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        ByteString report = reports.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        ticks.cancel(false);
        return DirectoryCodec.decodeMessage(report).get().getReport();
    }

    /** An answer to the process before a restart would grant a lease that nobody records. */
    @Test
    void reportsOfARestartedProxyHaveNumbersOfTheirOwn() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            port = socket.getLocalPort();
        }
        try (ForwardingServer relay =
                new ForwardingServer(
                        loops,
                        HOST,
                        port,
                        engine()::acceptForwarding,
                        (from, report, reply) -> reports.add(report),
                        ConnectionGuard.unlimited())) {
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
