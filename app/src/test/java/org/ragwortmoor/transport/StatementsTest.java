package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.standin.StandinServer;
import org.ragwortmoor.standin.StandinSettings;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Guards the limits of an endpoint: slots, queue, connections, one statement per connection. */
class StatementsTest {
    private static final long LONG_MICROS = 60_000_000;
    private static final EndpointCall PING = new EndpointCall.Ping();

    private final RecordingClient client = new RecordingClient();
    private StandinServer server;

    @TempDir Path folder;

    @BeforeEach
    void start() throws Exception {
        server = start(settings(0));
        server.database().promote(1);
    }

    private static StandinSettings settings(int port) {
        return StandinSettings.of("fleet-1", "e1", "127.0.0.1", port, "Colina", 1).withLimits(3, 1);
    }

    private static StandinServer start(StandinSettings settings) throws Exception {
        return StandinServer.start(settings, new SplittableRandom(3));
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
    }

    private static EndpointCall read(long serviceMicros) {
        return new EndpointCall.Read(List.of(new Operation.Get("k")), serviceMicros);
    }

    private static EndpointCall put(String id, long serviceMicros) {
        return new EndpointCall.Write(
                1, List.of(new Operation.Put("k", id)), new WriteIdentity(id, 1), serviceMicros);
    }

    private static void assertRefused(EndpointAnswer answer, RefusalKind kind) {
        assertThat(answer).isInstanceOf(EndpointAnswer.Refused.class);
        assertThat(((EndpointAnswer.Refused) answer).kind()).isEqualTo(kind);
    }

    @Test
    void statementsBeyondTheSlotsWaitAndBeyondTheQueueAreRefused() throws Exception {
        long one = client.open(server.address(), "p");
        long two = client.open(server.address(), "p");
        long three = client.open(server.address(), "p");
        long running = client.send(one, read(LONG_MICROS));
        Await.until("running", () -> server.status().join().running() == 1);
        long waiting = client.send(two, read(0));
        Await.until("waiting", () -> server.status().join().queued() == 1);
        assertRefused(client.call(three, read(0)), RefusalKind.BUSY);
        assertThat(client.status(one, PING).running()).isEqualTo(1);
        assertRefused(client.call(one, read(0)), RefusalKind.BAD_REQUEST);
        assertThat(client.has(running) || client.has(waiting)).isFalse();
        // A reset removes the waiting statement from the queue.
        assertThat(client.call(two, new EndpointCall.Reset()))
                .isInstanceOf(EndpointAnswer.ResetDone.class);
        assertThat(server.status().join().queued()).isZero();
        assertThat(client.has(waiting)).isFalse();
    }

    @Test
    void aWaitingStatementReportsItsWait() throws Exception {
        long one = client.open(server.address(), "p");
        long two = client.open(server.address(), "p");
        client.send(one, read(150_000));
        Await.until("running", () -> server.status().join().running() == 1);
        long start = System.nanoTime();
        EndpointAnswer.Result result = (EndpointAnswer.Result) client.call(two, read(0));
        long waited = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
        assertThat(result.queuedMicros()).isPositive().isLessThanOrEqualTo(waited);
    }

    @Test
    void aResolveWhileTheOriginalRunsCancelsIt() throws Exception {
        long one = client.open(server.address(), "p");
        long two = client.open(server.address(), "p");
        long late = client.send(one, put("w", 300_000));
        Await.until("running", () -> server.status().join().running() == 1);
        assertThat(client.call(two, new EndpointCall.Resolve(1, new WriteIdentity("w", 1))))
                .isEqualTo(new EndpointAnswer.Resolved(false, new Position(1, 2)));
        assertRefused(client.answer(late), RefusalKind.CANCELLED);
    }

    @Test
    void aStatusWaitsForItsPosition() throws Exception {
        long one = client.open(server.address(), "p");
        long two = client.open(server.address(), "p");
        Position awaited = new Position(1, 2);
        long waiting = client.send(two, new EndpointCall.Status(awaited, LONG_MICROS));
        client.call(two, PING);
        assertThat(client.has(waiting)).isFalse();
        client.call(one, put("w", 0));
        assertThat(((EndpointAnswer.StatusReport) client.answer(waiting)).status().last())
                .isEqualTo(awaited);
        EndpointStatus timedOut =
                client.status(two, new EndpointCall.Status(new Position(1, 9), 50_000));
        assertThat(timedOut.last()).isEqualTo(awaited);
    }

    @Test
    void aClosedConnectionRollsItsTransactionBack() throws Exception {
        long one = client.open(server.address(), "p");
        long two = client.open(server.address(), "p");
        EndpointAnswer.Began began =
                (EndpointAnswer.Began) client.call(one, new EndpointCall.Begin(1));
        client.call(
                one,
                new EndpointCall.InTransaction(
                        began.transaction(), List.of(new Operation.Put("k", "v")), 0));
        EndpointCall commit =
                new EndpointCall.Commit(began.transaction(), new WriteIdentity("t", 1));
        assertRefused(client.call(two, commit), RefusalKind.UNKNOWN_TRANSACTION);
        assertThat(server.database().isOpen(began.transaction())).isTrue();
        client.transport.close(one);
        Await.until("rollback", () -> !server.database().isOpen(began.transaction()));
        assertThat(server.database().last()).isEqualTo(new Position(1, 1));
    }

    @Test
    void connectionsBeyondTheLimitAreRefusedButAdministrativeOnesAreNot() throws Exception {
        long one = client.open(server.address(), "p");
        client.open(server.address(), "p");
        client.open(server.address(), "p");
        long refused = client.tryOpen(server.address(), "p", false);
        assertThat(client.failed)
                .anyMatch(
                        e -> e.connection() == refused && e.reason().contains("CONNECTION_LIMIT"));
        long admin = client.open(server.address(), "control", true);
        assertThat(client.status(admin, PING).connections()).isEqualTo(3);
        assertRefused(client.call(admin, read(0)), RefusalKind.BAD_REQUEST);
        client.transport.close(one);
        Await.until("a free place", () -> server.status().join().connections() == 2);
        client.open(server.address(), "p");
    }

    @Test
    void openingAConnectionTakesItsCost() throws Exception {
        long start = System.nanoTime();
        client.open(server.address(), "p");
        assertThat(System.nanoTime() - start).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(10));
    }

    @Test
    void anOversizedCallIsNotSent() throws Exception {
        long one = client.open(server.address(), "p");
        EndpointCall large = put("x".repeat(2 << 20), 0);
        assertRefused(client.call(one, large), RefusalKind.BAD_REQUEST);
        client.call(one, PING);
    }

    @Test
    void aRestartWithADataFolderKeepsEverythingAndWithoutNothing() throws Exception {
        StandinServer kept = start(settings(0).withDataFolder(folder));
        String address = kept.address();
        long incarnation = kept.incarnation();
        kept.database().promote(4);
        kept.database().write(4, List.of(new Operation.Put("k", "v")), new WriteIdentity("w", 1));
        EndpointStatus before = kept.database().status(0, 0, 0, false);
        long connection = client.open(address, "p");
        kept.close();
        Await.until("loss", () -> client.lost.stream().anyMatch(e -> e.connection() == connection));
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (StandinServer again = start(settings(port).withDataFolder(folder))) {
            assertThat(again.incarnation()).isEqualTo(incarnation);
            assertThat(again.database().status(0, 0, 0, false)).isEqualTo(before);
            client.open(address, "p");
        }
        try (StandinServer fresh =
                StandinServer.start(settings(0), new SplittableRandom(incarnation))) {
            assertThat(fresh.incarnation()).isNotEqualTo(incarnation);
            assertThat(fresh.database().last()).isEqualTo(Position.ZERO);
        }
    }
}
