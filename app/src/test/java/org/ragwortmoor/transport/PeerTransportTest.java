package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;

/** Guards against peers that do not reconnect after a lost, refused or silent connection. */
class PeerTransportTest {
    private static final TransportSettings SETTINGS = TransportSettings.defaults("127.0.0.1");

    private final TransportMetrics metrics = new TransportMetrics(new PrometheusRegistry());
    private final List<PeerEnvelope> replies = new CopyOnWriteArrayList<>();
    private final PeerClient client =
            new PeerClient(
                    SETTINGS,
                    "proxy-1",
                    Runnable::run,
                    (message, reply) -> replies.add(message),
                    metrics,
                    new SplittableRandom(11));

    @AfterEach
    void stop() {
        client.close();
    }

    private static PeerServer server(int port, PeerListener listener) throws IOException {
        return new PeerServer(
                SETTINGS,
                port,
                "control-1",
                Runnable::run,
                listener,
                new TransportMetrics(new PrometheusRegistry()),
                ConnectionGuard.unlimited());
    }

    private static PeerBody message(String text) {
        return new PeerBody.Consensus(ByteString.copyFromUtf8(text));
    }

    private boolean replied(String text) {
        return replies.stream().anyMatch(r -> r.body().equals(message(text)));
    }

    @Test
    void messagesPassInBothDirections() throws Exception {
        try (PeerServer server = server(0, (message, reply) -> reply.send(message.body()))) {
            String address = "127.0.0.1:" + server.port();
            assertThat(client.send(address, message("a"))).isTrue();
            Await.until("reply", () -> replied("a"));
            assertThat(replies.get(0).sender()).isEqualTo("control-1");
            assertThat(server.peers()).containsExactly("proxy-1");
            assertThat(server.send("proxy-1", message("b"))).isTrue();
            assertThat(server.send("proxy-9", message("b"))).isFalse();
            Await.until("push", () -> replied("b"));
            assertThat(metrics.frames(address, "out")).isEqualTo(1);
            assertThat(metrics.frames(address, "in")).isEqualTo(2);
            assertThat(metrics.bytes(address, "in")).isPositive();
        }
    }

    @Test
    void messagesSentWhileAPeerIsDownArriveAfterItsStart() throws Exception {
        int port;
        try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = freePort.getLocalPort();
        }
        String address = "127.0.0.1:" + port;
        client.send(address, message("early"));
        Await.until("a failed attempt", () -> metrics.errors(address, "connect_failed") > 0);
        try (PeerServer server = server(port, (message, reply) -> reply.send(message.body()))) {
            Await.until("reply", () -> replied("early"));
            assertThat(server.peers()).containsExactly("proxy-1");
        }
        Await.until("loss", () -> !client.isConnected(address));
        try (PeerServer server = server(port, (message, reply) -> reply.send(message.body()))) {
            client.send(address, message("again"));
            Await.until("reply", () -> replied("again"));
            assertThat(server.peers()).containsExactly("proxy-1");
        }
    }

    @Test
    void aSilentConnectionIsReplaced() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + silent.getLocalPort();
            client.connect(address);
            silent.accept();
            Await.until("silence noticed", () -> metrics.errors(address, "silent") > 0);
            silent.accept();
            Await.until("second connection", () -> client.isConnected(address));
        }
    }

    @Test
    void invalidAddressesAndOversizedMessagesAreRefused() throws Exception {
        assertThat(client.connect("localhost")).isFalse();
        assertThat(client.connect("127.0.0.1:70000")).isFalse();
        try (PeerServer server = server(0, (message, reply) -> reply.send(message.body()))) {
            String address = "127.0.0.1:" + server.port();
            assertThat(client.send(address, message("x".repeat(2 << 20)))).isFalse();
            client.send(address, message("a"));
            Await.until("reply", () -> replied("a"));
        }
    }

    @Test
    void aFullQueueDropsTheOldestHeartbeatFirst() {
        PeerQueue queue = new PeerQueue(3);
        assertThat(queue.offer(queued("c1", false))).isZero();
        assertThat(queue.offer(queued("h1", true))).isZero();
        assertThat(queue.offer(queued("h2", true))).isZero();
        assertThat(queue.offer(queued("c2", false))).isEqualTo(1);
        assertThat(queue.offerWhileDisconnected(queued("h3", true))).isEqualTo(1);
        assertThat(queue.offer(queued("c3", false))).isEqualTo(1);
        assertThat(queue.offer(queued("c4", false))).isEqualTo(1);
        StringBuilder order = new StringBuilder();
        while (queue.size() > 0) {
            order.append(queue.poll().get().frame().toStringUtf8());
        }
        assertThat(order).hasToString("c2c3c4");
    }

    private static PeerQueue.Message queued(String text, boolean heartbeat) {
        return new PeerQueue.Message(
                heartbeat ? PeerBody.Report.class : PeerBody.Consensus.class,
                heartbeat,
                ByteString.copyFromUtf8(text));
    }
}
