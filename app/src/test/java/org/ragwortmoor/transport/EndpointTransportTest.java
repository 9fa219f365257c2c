package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Option;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.standin.StandinServer;
import org.ragwortmoor.standin.StandinSettings;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Guards promotion, replication, fencing and announcements of a group over real connections. */
class EndpointTransportTest {
    private final RecordingClient client = new RecordingClient();
    private final List<PeerEnvelope> announcements = new CopyOnWriteArrayList<>();
    private PeerServer control;
    private StandinServer primary;
    private StandinServer replica;

    @BeforeEach
    void start() throws Exception {
        control =
                new PeerServer(
                        TransportSettings.defaults("127.0.0.1"),
                        0,
                        "control-1",
                        Runnable::run,
                        (message, reply) -> {
                            announcements.add(message);
                            reply.send(new PeerBody.AnnouncementAck("fleet-1", "e", 1));
                        },
                        new TransportMetrics(new PrometheusRegistry()),
                        ConnectionGuard.unlimited());
        primary = start("e1");
        replica = start("e2");
    }

    private StandinServer start(String endpoint) throws Exception {
        return StandinServer.start(
                StandinSettings.of("fleet-1", endpoint, "127.0.0.1", 0, "Colina", 2)
                        .withControlAddresses(List.of("127.0.0.1:" + control.port())),
                new SplittableRandom(7));
    }

    @AfterEach
    void stop() {
        client.close();
        primary.close();
        replica.close();
        control.close();
    }

    @Test
    void writesReplicateAndAFencedPrimaryRefuses() throws Exception {
        long first = client.open(primary.address(), "proxy-1");
        long second = client.open(replica.address(), "proxy-1");
        client.status(first, new EndpointCall.Fence(1));
        client.status(second, new EndpointCall.Fence(1));
        client.status(first, new EndpointCall.Promote(1));
        client.status(second, new EndpointCall.Follow(1, primary.address()));

        EndpointAnswer written = client.call(first, put(1, "k", "v", "key-1"));
        Position position = ((EndpointAnswer.Result) written).position();
        assertThat(position).isEqualTo(new Position(1, 2));
        EndpointStatus status =
                client.status(second, new EndpointCall.Status(position, 10_000_000));
        assertThat(status.holds(position, 1)).isTrue();
        EndpointAnswer read =
                client.call(second, new EndpointCall.Read(List.of(new Operation.Get("k")), 1_000));
        assertThat(((EndpointAnswer.Result) read).records())
                .containsExactly(new ReadRecord("k", Option.some("v")));

        client.status(first, new EndpointCall.Fence(2));
        assertThat(client.call(first, put(1, "k", "w", "key-2")))
                .isInstanceOf(EndpointAnswer.Refused.class);
        client.status(second, new EndpointCall.Promote(2));
        client.status(first, new EndpointCall.Follow(2, replica.address()));
        Position next =
                ((EndpointAnswer.Result) client.call(second, put(2, "k", "x", "key-3"))).position();
        assertThat(client.status(first, new EndpointCall.Status(next, 10_000_000)).holds(next, 2))
                .isTrue();
    }

    @Test
    void endpointsAnnounceThemselves() throws Exception {
        Await.until(
                "announcements of both endpoints",
                () -> announcements.stream().map(PeerEnvelope::sender).distinct().count() == 2);
        PeerBody.Announced announced = (PeerBody.Announced) announcements.get(0).body();
        assertThat(announced.announcement().group()).isEqualTo("fleet-1");
        assertThat(announced.announcement().info().slots()).isEqualTo(2);
    }

    private static EndpointCall put(long term, String key, String value, String id) {
        return new EndpointCall.Write(
                term, List.of(new Operation.Put(key, value)), new WriteIdentity(id, 1), 1_000);
    }
}
