package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.protocol.FrameLimits;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerCodec;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.standin.StandinServer;
import org.ragwortmoor.standin.StandinSettings;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** Guards against malformed frames that stop a server or disturb its other connections. */
class FrameFuzzTest {
    private static final int ROUNDS = 150;
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final SplittableRandom random = new SplittableRandom(20261204);
    private final RecordingClient client = new RecordingClient();
    private final AtomicInteger receivedMessages = new AtomicInteger();
    private StandinServer endpoint;
    private PeerServer peer;

    @BeforeEach
    void start() throws Exception {
        endpoint =
                StandinServer.start(
                        StandinSettings.of("fleet-1", "e1", "127.0.0.1", 0, "Colina", 2)
                                .withLimits(5_000, 10),
                        random);
        peer =
                new PeerServer(
                        TransportSettings.defaults("127.0.0.1"),
                        0,
                        "control-1",
                        Runnable::run,
                        (received, reply) -> receivedMessages.incrementAndGet(),
                        new TransportMetrics(new PrometheusRegistry()),
                        ConnectionGuard.unlimited());
    }

    @AfterEach
    void stop() {
        client.close();
        endpoint.close();
        peer.close();
    }

    @Test
    void oversizedFramesGetAClearErrorAndEndTheConnection() throws Exception {
        long healthy = client.open(endpoint.address(), "healthy");
        byte[] header = ByteBuffer.allocate(8).putInt(FrameLimits.DEFAULT.maxBytes() + 1).array();
        byte[] answer = exchange(endpoint.address(), header);
        assertThat(new String(answer, java.nio.charset.StandardCharsets.UTF_8))
                .contains("frame is too large");
        assertThat(endpoint.badFrames()).isEqualTo(1);
        byte[] negative = ByteBuffer.allocate(8).putInt(-5).array();
        assertThat(exchange(endpoint.address(), negative)).isNotEmpty();
        assertThat(exchange("127.0.0.1:" + peer.port(), header)).isEmpty();
        client.call(healthy, new EndpointCall.Ping());
    }

    @Test
    void randomAndTruncatedFramesDisturbNoOtherConnection() throws Exception {
        long healthy = client.open(endpoint.address(), "healthy");
        byte[] hello =
                framed(EndpointCodec.frame(1, new EndpointCall.Hello("fuzz", false)).toByteArray());
        byte[] message =
                framed(
                        PeerCodec.encode(
                                        new PeerEnvelope(
                                                "fuzz", new PeerBody.AnnouncementAck("g", "e", 1)))
                                .toByteArray());
        for (int round = 0; round < ROUNDS; round++) {
            write(endpoint.address(), mutated(hello));
            write("127.0.0.1:" + peer.port(), mutated(message));
        }
        client.call(healthy, new EndpointCall.Ping());
        assertThat(client.lost).isEmpty();
        client.open(endpoint.address(), "after");
        int before = receivedMessages.get();
        write("127.0.0.1:" + peer.port(), message);
        Await.until("a valid message", () -> receivedMessages.get() > before);
        Await.until("closed fuzz connections", () -> endpoint.status().join().connections() == 2);
    }

    private byte[] mutated(byte[] frame) {
        return switch (random.nextInt(3)) {
            case 0 -> {
                byte[] noise = new byte[random.nextInt(1, 64)];
                random.nextBytes(noise);
                yield random.nextBoolean() ? noise : framed(noise);
            }
            case 1 -> Arrays.copyOf(frame, random.nextInt(1, frame.length));
            default -> {
                byte[] changed = frame.clone();
                changed[random.nextInt(FrameLimits.LENGTH_BYTES, frame.length)] =
                        (byte) random.nextInt();
                yield changed;
            }
        };
    }

    private static byte[] framed(byte[] message) {
        return ByteBuffer.allocate(FrameLimits.LENGTH_BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    private static Socket connect(String address) throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))));
        return socket;
    }

    private static void write(String address, byte[] bytes) throws IOException {
        try (Socket socket = connect(address)) {
            socket.getOutputStream().write(bytes);
        }
    }

    /** Writes bytes and returns what the peer sends until it closes the connection. */
    private static byte[] exchange(String address, byte[] bytes) throws IOException {
        try (Socket socket = connect(address);
                InputStream input = socket.getInputStream()) {
            socket.getOutputStream().write(bytes);
            return input.readAllBytes();
        }
    }
}
