package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.standin.FaultSwitch;
import org.ragwortmoor.standin.FaultSwitch.Direction;
import org.ragwortmoor.standin.StandinControl;
import org.ragwortmoor.standin.StandinServer;
import org.ragwortmoor.standin.StandinSettings;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Guards against fault switches whose effect differs from what the tests of the proxy assume. */
class FaultsTest {
    private static final EndpointCall PING = new EndpointCall.Ping();

    private final RecordingClient client = new RecordingClient();
    private StandinServer primary;
    private StandinServer replica;
    private long first;
    private long second;
    private int keys;

    @BeforeEach
    void start() throws Exception {
        primary = server("e1");
        replica = server("e2");
        first = client.open(primary.address(), "proxy-1");
        second = client.open(primary.address(), "proxy-2");
        client.status(first, new EndpointCall.Promote(1));
        replica.database().follow(1, primary.address());
        awaitReplication();
    }

    private static StandinServer server(String endpoint) throws Exception {
        StandinSettings.Delays delays = StandinSettings.Delays.DEFAULT.withLeavingGraceMillis(300);
        return StandinServer.start(
                StandinSettings.of("fleet-1", endpoint, "127.0.0.1", 0, "Colina", 2)
                        .withDelays(delays),
                new SplittableRandom(5));
    }

    @AfterEach
    void stop() {
        client.close();
        primary.close();
        replica.close();
    }

    private void awaitReplication() throws InterruptedException {
        Await.until(
                "replication", () -> replica.database().last().equals(primary.database().last()));
    }

    private EndpointCall put(long serviceMicros) {
        keys++;
        return new EndpointCall.Write(
                1,
                List.of(new Operation.Put("k", "v" + keys)),
                new WriteIdentity("key-" + keys, 1),
                serviceMicros);
    }

    private static EndpointCall read(long serviceMicros) {
        return new EndpointCall.Read(List.of(new Operation.Get("k")), serviceMicros);
    }

    private Position write() throws InterruptedException {
        return ((EndpointAnswer.Result) client.call(first, put(0))).position();
    }

    @Test
    void aSilentConnectionStaysSilentWhileAnotherAnswers() throws Exception {
        primary.apply(new FaultSwitch.SilenceConnections("proxy-1", 1)).join();
        long unanswered = client.send(first, PING);
        client.call(second, PING);
        client.open(primary.address(), "proxy-1");
        primary.apply(new FaultSwitch.Clear()).join();
        client.call(second, PING);
        assertThat(client.has(unanswered)).isFalse();
        assertThat(client.lost).isEmpty();
    }

    @Test
    void silenceOfAllCanBeEndedOverTheWire() throws Exception {
        StandinControl control = new StandinControl(primary.address());
        assertThat(control.apply(new FaultSwitch.SilenceAll(true))).isEqualTo(Option.none());
        long unanswered = client.send(first, PING);
        long connection = client.tryOpen(primary.address(), "proxy-3", false);
        assertThat(client.failed)
                .anyMatch(e -> e.connection() == connection && e.reason().contains("in time"));
        assertThat(control.apply(new FaultSwitch.SilenceAll(false))).isEqualTo(Option.none());
        client.open(primary.address(), "proxy-3");
        assertThat(client.has(unanswered)).isFalse();
        // Only the silenced connection lost a frame; the other one still works.
        client.call(second, PING);
    }

    @Test
    void refusedConnectionsFailWhileOpenOnesWork() throws Exception {
        primary.apply(new FaultSwitch.RefuseConnections(true)).join();
        long connection = client.tryOpen(primary.address(), "proxy-3", false);
        assertThat(client.failed).anyMatch(e -> e.connection() == connection);
        client.call(first, PING);
        write();
        awaitReplication();
        primary.apply(new FaultSwitch.Clear()).join();
        client.open(primary.address(), "proxy-3");
    }

    @Test
    void delayIsAddedInBothDirections() throws Exception {
        primary.apply(new FaultSwitch.ExtraDelay(100_000)).join();
        long start = System.nanoTime();
        client.call(first, PING);
        assertThat(System.nanoTime() - start).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(199));
    }

    @Test
    void aCrossedAnswerComesAfterTheNextOne() throws Exception {
        primary.apply(new FaultSwitch.CrossAnswers(1, 60_000_000)).join();
        long late = client.send(first, put(0));
        Await.until("the write", () -> primary.database().last().index() == 2);
        client.call(first, PING);
        assertThat(client.has(late)).isFalse();
        long next = client.send(first, read(0));
        client.answer(late);
        List<Long> order =
                client.answers.stream()
                        .map(RecordingClient.Answered::exchange)
                        .filter(e -> e == late || e == next)
                        .toList();
        assertThat(order).containsExactly(next, late);
    }

    @Test
    void aHeldAnswerComesLateWithoutANextOne() throws Exception {
        primary.apply(new FaultSwitch.CrossAnswers(1, 200_000)).join();
        long start = System.nanoTime();
        client.call(first, read(0));
        assertThat(System.nanoTime() - start).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(199));
    }

    @Test
    void aDuplicateAnswerComesTwice() throws Exception {
        primary.apply(new FaultSwitch.DuplicateAnswers(1)).join();
        long exchange = client.send(first, read(0));
        Await.until("two answers", () -> client.count(exchange) == 2);
        long once = client.send(first, read(0));
        client.answer(once);
        client.call(first, PING);
        assertThat(client.count(once)).isEqualTo(1);
    }

    @Test
    void aCutOffReplicaCatchesUpAfterTheCut() throws Exception {
        primary.apply(new FaultSwitch.CutOff(List.of("e2"), Direction.BOTH)).join();
        Position behind = replica.database().last();
        // The replica's pending fetch is answered while the network is cut, so its answer is lost.
        write();
        client.call(first, PING);
        write();
        assertThat(replica.database().last()).isEqualTo(behind);
        primary.apply(new FaultSwitch.CutOff(List.of(), Direction.BOTH)).join();
        awaitReplication();
    }

    @Test
    void anOutboundCutLosesAnswersButRunsCalls() throws Exception {
        primary.apply(new FaultSwitch.CutOff(List.of("proxy-1"), Direction.OUTBOUND)).join();
        Position before = primary.database().last();
        long unanswered = client.send(first, put(0));
        Await.until("the write", () -> !primary.database().last().equals(before));
        client.call(second, PING);
        primary.apply(new FaultSwitch.Clear()).join();
        long silent = client.send(first, PING);
        client.call(second, PING);
        assertThat(client.has(unanswered) || client.has(silent)).isFalse();
    }

    @Test
    void anInboundCutRunsNothing() throws Exception {
        primary.apply(new FaultSwitch.CutOff(List.of("127.0.0.1"), Direction.INBOUND)).join();
        Position before = primary.database().last();
        client.send(first, put(0));
        client.tryOpen(primary.address(), "proxy-3", false);
        assertThat(client.failed).hasSize(1);
        assertThat(primary.database().last()).isEqualTo(before);
    }

    @Test
    void stoppedReplicationResumes() throws Exception {
        replica.apply(new FaultSwitch.StopReplication(true)).join();
        Position behind = replica.database().last();
        write();
        client.call(first, PING);
        assertThat(replica.database().last()).isEqualTo(behind);
        replica.apply(new FaultSwitch.StopReplication(false)).join();
        awaitReplication();
    }

    @Test
    void replicationLagDelaysEntries() throws Exception {
        replica.apply(new FaultSwitch.ReplicationLag(300_000)).join();
        long start = System.nanoTime();
        write();
        awaitReplication();
        assertThat(System.nanoTime() - start).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(299));
    }

    @Test
    void aLeavingEndpointRefusesNewWorkAfterItsGrace() throws Exception {
        EndpointAnswer.Began began =
                (EndpointAnswer.Began) client.call(second, new EndpointCall.Begin(1));
        primary.apply(new FaultSwitch.Leaving(true)).join();
        assertThat(client.status(first, PING).leaving()).isTrue();
        Await.until(
                "refusal",
                () -> {
                    try {
                        return client.call(first, read(0)) instanceof EndpointAnswer.Refused r
                                && r.kind() == RefusalKind.LEAVING;
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
        assertThat(primary.lateWork()).isPositive();
        assertThat(
                        client.call(
                                second,
                                new EndpointCall.Commit(
                                        began.transaction(), new WriteIdentity("t", 1))))
                .isInstanceOf(EndpointAnswer.Result.class);
    }
}
