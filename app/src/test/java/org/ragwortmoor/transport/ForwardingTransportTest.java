package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.session.DecisionLog;
import org.ragwortmoor.coordination.session.ForwardedResult;
import org.ragwortmoor.coordination.session.ForwardedStatement;
import org.ragwortmoor.coordination.session.HolderLink;
import org.ragwortmoor.coordination.session.ProxyIdentity;
import org.ragwortmoor.coordination.session.SessionEngine;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.protocol.ForwardingCodec;
import org.ragwortmoor.protocol.wire.ForwardingFrame;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;

/** Guards the links between proxies against lost, refused, silent and malformed connections. */
class ForwardingTransportTest {
    private static final String HOST = "127.0.0.1";

    private final EventLoopGroup clientLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup serverLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = clientLoops.next();
    private final List<String> updates = new CopyOnWriteArrayList<>();
    private final ForwardingClient client =
            new ForwardingClient(
                    loop,
                    "edge-1",
                    HOST,
                    (proxy, update) -> updates.add(proxy + " " + update.toStringUtf8()));

    @AfterEach
    void stop() {
        clientLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        serverLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a proxy without routes, which answers every statement with an error. */
    private ForwardingServer server(int port) throws Exception {
        SessionEngine engine =
                new SessionEngine(
                        new UnconnectedHost(), new ProxyIdentity("holder", "a"), new NoLog());
        return new ForwardingServer(
                serverLoops,
                HOST,
                port,
                engine::acceptForwarding,
                (from, report, reply) ->
                        reply.accept(
                                ByteString.copyFromUtf8(
                                        "answer to " + from + ": " + report.toStringUtf8())),
                ConnectionGuard.unlimited());
    }

    private static ForwardedStatement statement(long stream) {
        Route route = new Route("r", "db", "/", RouteKind.PRIMARY, "g", 1_000, 200, 1, 0);
        return new ForwardedStatement(
                stream,
                true,
                "q" + stream,
                "READ x",
                Option.none(),
                "",
                route,
                Map.of(),
                Option.none(),
                ForwardedStatement.Mode.AUTOCOMMIT,
                0,
                false,
                false,
                "");
    }

    private CompletableFuture<ForwardedResult> execute(int port, long stream) {
        CompletableFuture<ForwardedResult> result = new CompletableFuture<>();
        loop.execute(
                () ->
                        client.link("holder", HOST + ":" + port)
                                .execute(statement(stream), result::complete));
        return result;
    }

    private void tickUntil(String condition, java.util.function.BooleanSupplier holds)
            throws Exception {
        loop.scheduleAtFixedRate(client::tick, 0, 20, TimeUnit.MILLISECONDS);
        Await.until(condition, holds::getAsBoolean);
    }

    private boolean usable(int port) {
        CompletableFuture<Boolean> usable = new CompletableFuture<>();
        loop.execute(
                () -> {
                    HolderLink link = client.link("holder", HOST + ":" + port);
                    usable.complete(link.usable());
                });
        return usable.join();
    }

    @Test
    void aStatementIsAnswered() throws Exception {
        int port = freePort();
        try (ForwardingServer server = server(port)) {
            assertThat(execute(port, 1).get(5, TimeUnit.SECONDS))
                    .isInstanceOf(ForwardedResult.Failed.class);
            assertThat(execute(port, 2).get(5, TimeUnit.SECONDS))
                    .isInstanceOf(ForwardedResult.Failed.class);
        }
    }

    @Test
    void aStatementThatWasNotSentIsDeclined() throws Exception {
        int port = freePort();
        assertThat(execute(port, 1).get(5, TimeUnit.SECONDS))
                .isInstanceOf(ForwardedResult.Declined.class);
        assertThat(execute(port, 2).get(5, TimeUnit.SECONDS))
                .isInstanceOf(ForwardedResult.Declined.class);
        try (ForwardingServer server = server(port)) {
            Await.until("reconnect", () -> usable(port));
            Await.until("answer", () -> execute(port, 3).join() instanceof ForwardedResult.Failed);
        }
    }

    @Test
    void aStatementOnALostLinkIsLost() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            CompletableFuture<ForwardedResult> result = execute(listening.getLocalPort(), 1);
            try (Socket accepted = listening.accept()) {
                assertThat(accepted.getInputStream().read()).isNotNegative();
            }
            assertThat(result.get(5, TimeUnit.SECONDS)).isInstanceOf(ForwardedResult.Lost.class);
        }
    }

    private static ForwardingFrame read(Socket socket) throws Exception {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return ForwardingFrame.parseFrom(bytes);
    }

    private static void sendResult(Socket socket, long stream, String row) throws Exception {
        ForwardedResult result =
                new ForwardedResult.Succeeded(
                        List.of(row), "signature", Option.none(), Option.none(), "s1");
        byte[] bytes = ForwardingCodec.encode(stream, result).toByteArray();
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(bytes.length);
        out.write(bytes);
        out.flush();
    }

    private static List<String> rows(CompletableFuture<ForwardedResult> result) throws Exception {
        return ((ForwardedResult.Succeeded) result.get(5, TimeUnit.SECONDS)).rows();
    }

    @Test
    void aRepeatedResultIsNotThatOfAnotherStatement() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            int port = listening.getLocalPort();
            CompletableFuture<ForwardedResult> first = execute(port, 1);
            try (Socket holder = listening.accept()) {
                assertThat(read(holder).hasHello()).isTrue();
                assertThat(read(holder).getStatement().getStream()).isEqualTo(1);
                sendResult(holder, 1, "first");
                assertThat(rows(first)).containsExactly("first");
                CompletableFuture<ForwardedResult> second = execute(port, 2);
                CompletableFuture<ForwardedResult> third = execute(port, 3);
                read(holder);
                read(holder);
                sendResult(holder, 1, "first");
                sendResult(holder, 3, "third");
                sendResult(holder, 2, "second");
                assertThat(rows(second)).containsExactly("second");
                assertThat(rows(third)).containsExactly("third");
            }
        }
    }

    @Test
    void aResultOfAnEndedStreamIsDropped() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            int port = listening.getLocalPort();
            CompletableFuture<ForwardedResult> ended = execute(port, 1);
            try (Socket holder = listening.accept()) {
                read(holder);
                read(holder);
                loop.execute(() -> client.link("holder", HOST + ":" + port).end(1));
                assertThat(read(holder).getEnd()).isEqualTo(1);
                CompletableFuture<ForwardedResult> next = execute(port, 2);
                read(holder);
                sendResult(holder, 1, "ended");
                sendResult(holder, 2, "next");
                assertThat(rows(next)).containsExactly("next");
                assertThat(ended).isNotDone();
            }
        }
    }

    @Test
    void aResultOnANewConnectionIsNotThatOfAStatementOnTheOldOne() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            int port = listening.getLocalPort();
            CompletableFuture<ForwardedResult> first = execute(port, 1);
            try (Socket holder = listening.accept()) {
                read(holder);
            }
            assertThat(first.get(5, TimeUnit.SECONDS)).isInstanceOf(ForwardedResult.Lost.class);
            Await.until("reconnect", () -> usable(port));
            try (Socket holder = listening.accept()) {
                assertThat(read(holder).hasHello()).isTrue();
                CompletableFuture<ForwardedResult> second = execute(port, 2);
                read(holder);
                sendResult(holder, 1, "first");
                sendResult(holder, 2, "second");
                assertThat(rows(second)).containsExactly("second");
            }
        }
    }

    @Test
    void aSilentLinkIsNotUsedAndLostAfterAWhile() throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            int port = listening.getLocalPort();
            CompletableFuture<ForwardedResult> result = execute(port, 1);
            try (Socket accepted = listening.accept()) {
                assertThat(accepted.isConnected()).isTrue();
                tickUntil("the link is not usable", () -> !usable(port));
                assertThat(result.get(5, TimeUnit.SECONDS))
                        .isInstanceOf(ForwardedResult.Lost.class);
            }
        }
    }

    @Test
    void aMalformedFrameClosesTheLinkOnly() throws Exception {
        int port = freePort();
        try (ForwardingServer server = server(port)) {
            for (int i = 0; i < 20; i++) {
                try (Socket socket = new Socket(HOST, port)) {
                    OutputStream out = socket.getOutputStream();
                    out.write(new byte[] {0, 0, 0, 3, (byte) 0xff, (byte) i, 1});
                    out.flush();
                    assertThat(socket.getInputStream().read()).isEqualTo(-1);
                }
            }
            assertThat(execute(port, 1).get(5, TimeUnit.SECONDS))
                    .isInstanceOf(ForwardedResult.Failed.class);
        }
    }

    @Test
    void aReportIsPassedOnAndItsAnswerReturns() throws Exception {
        int port = freePort();
        try (ForwardingServer server = server(port)) {
            execute(port, 1).get(5, TimeUnit.SECONDS);
            loop.execute(
                    () ->
                            client.sendReport(
                                    "holder",
                                    HOST + ":" + port,
                                    ByteString.copyFromUtf8("report")));
            Await.until("update", () -> !updates.isEmpty());
            assertThat(updates).containsExactly("holder answer to edge-1: report");
        }
    }

    /** A host without servers, for an engine without routes. */
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

    private static final class NoLog implements DecisionLog {
        @Override
        public void connectionOpening(String cause) {}

        @Override
        public void idleConnectionClosed(String cause) {}

        @Override
        public void statement(
                String id,
                String database,
                String server,
                String outcome,
                String reason,
                Option<Position> required,
                int attempts,
                long nanos) {}

        @Override
        public void forwardedStatement(
                String id,
                String from,
                String server,
                String outcome,
                String reason,
                Option<Position> required,
                int attempts,
                long nanos) {}

        @Override
        public void serverAnswered(String group) {}

        @Override
        public void answerMismatched(
                String group, String server, String kind, String statementId, String message) {}

        @Override
        public void connectionFailed(String group, String server, String reason) {}

        @Override
        public void connectionLost(String group, String server, String reason) {}

        @Override
        public void leaderChanged(String group, String from, String to, String reason) {}

        @Override
        public void leaderDenied(String group, String server, long term) {}

        @Override
        public void leaderConfirmed(String group, String server, long term) {}

        @Override
        public void directoryApplied(
                long routesVersion, long routesRevision, long serversRevision) {}

        @Override
        public void isolationChanged(boolean isolated, int silentLeaders, int groups) {}

        @Override
        public void keyRefused(String cause) {}

        @Override
        public void sessionEnded(String database, String reason) {}
    }
}
