package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.directory.PrimaryLeaseTable;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NeighbourMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.state.workspace.Workspace;

/**
 * Guards against counts and lists of proxies that follow a transient state: right after an
 * election, or while a proxy does not report, too few proxies are known.
 */
class ProxyRegistryTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private Option<Long> contactAt = Option.none();
    private final ProxyRegistry registry =
            new ProxyRegistry(new PrimaryLeaseTable(0), () -> contactAt);
    private DirectoryState fleet = DirectoryState.EMPTY;
    private long now = SECOND;

    private void report(int proxies) {
        for (int i = 0; i < proxies; i++) {
            registry.answerReport(
                    NodeReportMessage.newBuilder()
                            .setProxy("p" + i)
                            .setDomain("a")
                            .setForwardingAddress("10.0.0.1:" + i)
                            .build(),
                    body -> {},
                    DirectoryState.EMPTY,
                    List.of(),
                    now);
        }
    }

    @Test
    void countRisesOnlyAfterTheElectionSettleTime() {
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        report(7);
        assertThat(registry.changedSize(FleetSize.UNKNOWN, now)).isEmpty();
        now += 4 * SECOND;
        report(7);
        assertThat(registry.changedSize(FleetSize.UNKNOWN, now)).contains(new FleetSize(7, 1));
        assertThat(registry.changedSize(new FleetSize(7, 1), now)).isEmpty();
    }

    @Test
    void newLeaderWithReportsFromOneProxyKeepsTheRecordedCount() {
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        for (int i = 0; i < 25; i++) {
            report(1);
            assertThat(registry.changedSize(new FleetSize(7, 1), now)).isEmpty();
            now += SECOND;
        }
    }

    @Test
    void onlyRecentEarlyReportIsAnsweredAfterElection() {
        List<PeerBody> sent = new ArrayList<>();
        NodeReportMessage report = NodeReportMessage.newBuilder().setProxy("p").build();
        registry.recordEarlyReport(report, body -> {}, now - 2 * SECOND);
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        registry.recordEarlyReport(report, sent::add, now + SECOND / 2);
        assertThat(sent).isEmpty();
        registry.elected(DirectoryState.EMPTY, List.of(), now + SECOND);
        assertThat(sent).hasSize(1);
    }

    @Test
    void countFallsOnceFewerProxiesHaveReportedForLong() {
        registry.elected(DirectoryState.EMPTY, List.of(), now);
        for (int i = 0; i < 31; i++) {
            report(5);
            now += SECOND;
        }
        assertThat(registry.changedSize(new FleetSize(7, 1), now)).contains(new FleetSize(5, 1));
    }

    private DirectoryUpdateMessage answer(String proxy, String domain, long knownHash) {
        List<PeerBody> sent = new ArrayList<>();
        registry.answerReport(
                NodeReportMessage.newBuilder()
                        .setProxy(proxy)
                        .setDomain(domain)
                        .setForwardingAddress("10.0.0.1:" + proxy)
                        .setNeighboursHash(knownHash)
                        .build(),
                sent::add,
                fleet,
                List.of(),
                now);
        PeerBody.Directory body = (PeerBody.Directory) sent.get(0);
        return DirectoryCodec.decodeMessage(body.message()).get().getUpdate();
    }

    private void setFleet(int proxies) {
        fleet =
                DirectoryState.EMPTY.apply(
                        new DirectoryCommand.SetFleetSize(new FleetSize(proxies, 2)), 1);
    }

    private static List<String> names(DirectoryUpdateMessage update) {
        return update.getNeighboursList().stream().map(NeighbourMessage::getName).toList();
    }

    @Test
    void proxyIsToldTheProxiesOfItsOwnDomain() {
        setFleet(3);
        registry.elected(fleet, List.of(), now);
        answer("p1", "a", 0);
        answer("p2", "b", 0);
        assertThat(names(answer("p3", "a", 0))).containsExactly("p1", "p3");
    }

    @Test
    void newLeaderTellsNothingBeforeMostProxiesHaveReported() {
        setFleet(10);
        registry.elected(fleet, List.of(), now);
        assertThat(names(answer("p1", "a", 0))).isEmpty();
        now += SECOND / 2;
        assertThat(names(answer("p1", "a", 0))).containsExactly("p1");
        assertThat(names(answer("p2", "a", 7))).isEmpty();
        now += 2 * SECOND;
        assertThat(names(answer("p2", "a", 7))).containsExactly("p1", "p2");
    }

    @Test
    void proxyThatStopsOrIsSilentIsNoNeighbour() {
        setFleet(2);
        registry.elected(fleet, List.of(), now);
        answer("p1", "a", 0);
        registry.answerReport(
                NodeReportMessage.newBuilder()
                        .setProxy("p2")
                        .setDomain("a")
                        .setForwardingAddress("10.0.0.1:p2")
                        .setStopping(true)
                        .build(),
                body -> {},
                fleet,
                List.of(),
                now);
        assertThat(names(answer("p3", "a", 0))).containsExactly("p1", "p3");
        now += 3 * SECOND;
        assertThat(names(answer("p3", "a", 0))).containsExactly("p3");
    }

    private DirectoryUpdateMessage answer(long incarnation, long id, long at) {
        List<PeerBody> sent = new ArrayList<>();
        registry.answerReport(
                NodeReportMessage.newBuilder()
                        .setProxy("p1")
                        .setIncarnation(incarnation)
                        .setId(id)
                        .build(),
                sent::add,
                fleet,
                List.of(),
                at);
        PeerBody.Directory body = (PeerBody.Directory) sent.get(0);
        return DirectoryCodec.decodeMessage(body.message()).get().getUpdate();
    }

    private void setWorkspaces(Option<List<Workspace>> workspaces, long version) {
        fleet =
                fleet.apply(
                        new DirectoryCommand.PutRoutes(
                                new RouteTable(version, List.of(), List.of(), 0, workspaces, "")),
                        version);
    }

    /** A confirmation without contact to a majority would let a deposed leader keep keys alive. */
    @Test
    void onlyReportsBeforeTheLastContactToAMajorityAreConfirmed() {
        setWorkspaces(Option.some(List.of()), 1);
        registry.elected(fleet, List.of(), now);
        assertThat(answer(7, 21, 2 * SECOND).getConfirmedReportId()).isZero();
        contactAt = Option.some(2 * SECOND + 1);
        assertThat(answer(7, 22, 3 * SECOND).getConfirmedReportId()).isEqualTo(21);
        assertThat(answer(7, 23, 4 * SECOND).getConfirmedReportId()).isEqualTo(21);
        assertThat(answer(8, 5, 5 * SECOND).getConfirmedReportId()).isZero();
        contactAt = Option.none();
        assertThat(answer(8, 6, 6 * SECOND).getConfirmedReportId()).isZero();
        contactAt = Option.some(6 * SECOND);
        registry.elected(fleet, List.of(), 7 * SECOND);
        assertThat(answer(8, 7, 7 * SECOND).getConfirmedReportId()).isZero();
    }

    @Test
    void withoutWorkspacesNothingIsConfirmed() {
        setWorkspaces(Option.none(), 1);
        contactAt = Option.some(9 * SECOND);
        assertThat(answer(7, 21, 2 * SECOND).getConfirmedReportId()).isZero();
    }

    @Test
    void unchangedNeighboursAreNotRepeated() {
        setFleet(1);
        registry.elected(fleet, List.of(), now);
        long hash = answer("p1", "a", 0).getNeighboursHash();
        assertThat(hash).isNotZero();
        assertThat(answer("p1", "a", hash).getNeighboursHash()).isZero();
    }
}
