package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.coordination.consensus.ConsensusMessage;
import org.ragwortmoor.protocol.ConsensusCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.ForwardedRequestMessage;
import org.ragwortmoor.protocol.wire.JoinMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.protocol.wire.PrimaryObservationMessage;
import org.ragwortmoor.protocol.wire.RouteTableMessage;
import org.ragwortmoor.protocol.wire.ServerAnnouncementMessage;
import org.ragwortmoor.protocol.wire.ServerMessage;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.TransportMetrics;
import org.ragwortmoor.transport.TransportSettings;

/** Guards a directory process against messages that no process of ours would send. */
class DirectoryNodeFuzzTest {
    private static final int MESSAGES = 3_000;

    @TempDir private Path folder;

    private final SplittableRandom random = new SplittableRandom(20_261_204);
    private RunningDirectory directory;
    private PeerClient client;

    @BeforeEach
    void start() throws Exception {
        directory = new RunningDirectory(folder);
        client =
                new PeerClient(
                        TransportSettings.forPeers(RunningDirectory.HOST),
                        "stranger",
                        directory.loop(),
                        (message, reply) -> {},
                        new TransportMetrics(new PrometheusRegistry()),
                        new SplittableRandom(1));
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        directory.close();
    }

    private static RouteTable table(long version) {
        return new RouteTable(
                version, List.of(), List.of(new GroupLimits("g", 30, 0)), 0, "version " + version);
    }

    private String text() {
        return switch (random.nextInt(6)) {
            case 0 -> "";
            case 1 -> "g";
            case 2 -> directory.control();
            case 3 -> "\u0000\uffff";
            case 4 -> "x".repeat(random.nextInt(3_000));
            default -> "n" + random.nextInt(5);
        };
    }

    private long number() {
        return switch (random.nextInt(4)) {
            case 0 -> 0;
            case 1 -> -1;
            case 2 -> random.nextLong();
            default -> random.nextInt(100);
        };
    }

    private ServerMessage server() {
        return ServerMessage.newBuilder()
                .setId(text())
                .setBornAtMillis(number())
                .setGroup(text())
                .setAddress(text())
                .setZone(text())
                .setSlots((int) number())
                .setState(random.nextBoolean() ? "READY" : text())
                .setPrimary(random.nextBoolean())
                .build();
    }

    private DirectoryMessage directoryMessage() {
        DirectoryMessage.Builder message = DirectoryMessage.newBuilder();
        switch (random.nextInt(5)) {
            case 0 ->
                    message.setReport(
                            NodeReportMessage.newBuilder()
                                    .setProxy(text())
                                    .setDomain(text())
                                    .setForwardingAddress(text())
                                    .setRoutesRevision(number())
                                    .setServersRevision(number())
                                    .setNeighboursHash(number())
                                    .setId(number())
                                    .setIncarnation(number())
                                    .addPrimaries(
                                            PrimaryObservationMessage.newBuilder()
                                                    .setGroup(text())
                                                    .setServer(text())
                                                    .setSilentMillis((int) number())
                                                    .setHoldsLease(random.nextBoolean())
                                                    .setNeedsLease(random.nextBoolean())));
            case 1 ->
                    message.setJoin(
                            JoinMessage.newBuilder()
                                    .setNode(text())
                                    .setIncarnation(number())
                                    .setAddress("no address"));
            case 2 ->
                    message.setRequest(
                            ForwardedRequestMessage.newBuilder()
                                    .setId(number())
                                    .setAnnouncement(
                                            ServerAnnouncementMessage.newBuilder()
                                                    .setServer(server())
                                                    .setSequence(number())));
            case 3 ->
                    message.setRequest(
                            ForwardedRequestMessage.newBuilder()
                                    .setId(number())
                                    .setPutRoutes(
                                            RouteTableMessage.newBuilder()
                                                    .setVersion(random.nextInt(3))));
            default -> message.setRequest(ForwardedRequestMessage.newBuilder().setId(number()));
        }
        return message.build();
    }

    private ByteString consensusMessage() {
        MemberId self = new MemberId(directory.control(), random.nextBoolean() ? 0 : number());
        MemberId other = new MemberId(text(), number());
        ConsensusMessage message =
                random.nextBoolean()
                        ? new ConsensusMessage.TimeoutNow(other, self, random.nextInt(3))
                        : new ConsensusMessage.AppendRequest(
                                other, self, random.nextInt(3), 5, 1, 3, 0, List.of());
        return ConsensusCodec.encode(message).toByteString();
    }

    private ByteString bytes(int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return ByteString.copyFrom(bytes);
    }

    private PeerBody body() {
        return switch (random.nextInt(4)) {
            case 0 -> new PeerBody.Consensus(bytes(random.nextInt(60)));
            case 1 -> new PeerBody.Directory(bytes(random.nextInt(60)));
            case 2 -> new PeerBody.Consensus(consensusMessage());
            default -> new PeerBody.Directory(directoryMessage().toByteString());
        };
    }

    @Test
    void theProcessServesAfterThousandsOfInvalidMessages() throws Exception {
        directory.awaitStored(table(10));
        for (int i = 0; i < MESSAGES; i++) {
            client.send(directory.peerAddress(), body());
            if (i % 100 == 0) {
                Thread.sleep(20);
            }
        }
        directory.awaitStored(table(20));
        assertThat(directory.call(directory.api()::readRoutes).source()).isEqualTo("version 20");
    }
}
