package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.callers.CallerLimits;
import org.ragwortmoor.coordination.session.HolderLink;
import org.ragwortmoor.coordination.session.ProxyIdentity;
import org.ragwortmoor.coordination.session.SessionEngine;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.directory.DecisionLogger;
import org.ragwortmoor.state.directory.ServerRecord;

/** Guards against callers that are closed without being told the limit. */
class CallerGuardTest implements SessionHost {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final long LONG_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final List<String> closed = new CopyOnWriteArrayList<>();
    private CallerGuard guard;
    private StatementServer server;
    private InetSocketAddress address;

    private void start(int maxSessions, long connectNanos, long progressNanos) throws IOException {
        guard =
                new CallerGuard(
                        new CallerLimits(
                                1 << 20, 1 << 20, maxSessions, 10, connectNanos, progressNanos),
                        (peer, interfaceName, limit) -> closed.add(interfaceName + " " + limit));
        SessionEngine engine =
                new SessionEngine(
                        this,
                        new ProxyIdentity("proxy", "a"),
                        new DecisionLogger(new PrometheusRegistry(), System::nanoTime));
        ServerSocketChannel listening =
                ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        address = (InetSocketAddress) listening.getLocalAddress();
        server = new StatementServer(loops, listening, guard, engine::accept);
        loop.scheduleAtFixedRate(guard::tick, 10, 10, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void stop() {
        server.close();
        Channels.shutdown(loops);
    }

    private Socket connect(String text) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private boolean firstConnected() {
        return loop.submit(
                        () ->
                                guard.budget().sessions() == 1
                                        && guard.budget().unconnectedSessions() == 0)
                .syncUninterruptibly()
                .getNow();
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void aSessionBeyondTheLimitIsRefused() throws Exception {
        start(1, LONG_NANOS, LONG_NANOS);
        try (Socket first = connect("CONNECT own test\r\n")) {
            Await.until("the first session has sent CONNECT", this::firstConnected);
            try (Socket second = connect("")) {
                assertThat(readAll(second))
                        .startsWith("ERROR OVERLOAD retry-after-ms=")
                        .contains("limit of sessions");
            }
            assertThat(first.isClosed()).isFalse();
        }
        assertThat(closed).containsExactly("statement sessions");
    }

    @Test
    void aSessionWithoutConnectIsClosed() throws Exception {
        start(10, SHORT_NANOS, LONG_NANOS);
        try (Socket silent = connect("")) {
            assertThat(readAll(silent)).startsWith("ERROR OVERLOAD").contains("CONNECT");
        }
        assertThat(closed).containsExactly("statement connect_timeout");
    }

    @Test
    void aHalfMessageThatStopsIsClosed() throws Exception {
        start(10, LONG_NANOS, SHORT_NANOS);
        try (Socket half = connect("CONNECT o")) {
            assertThat(readAll(half)).startsWith("ERROR OVERLOAD").contains("message");
        }
        assertThat(closed).containsExactly("statement message_progress");
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
        var scheduled = loop.schedule(task, deadline - now(), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    @Override
    public ServerLink connect(ServerRecord record, ServerLinkListener listener) {
        throw new UnsupportedOperationException("no statement is executed");
    }

    @Override
    public HolderLink link(String proxy, String proxyAddress) {
        throw new UnsupportedOperationException("no statement is executed");
    }
}
