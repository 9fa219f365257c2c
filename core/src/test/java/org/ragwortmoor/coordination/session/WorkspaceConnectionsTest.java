package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the server connections of workspaces, in a fleet whose proxies use holders. */
class WorkspaceConnectionsTest {
    private static final int MAX_CONNECTIONS = 66;
    private static final int WORKSPACES = 84;
    private static final int PROXIES_PER_DOMAIN = 5;

    /** Callers of the large workspace, together more than there are connections. */
    private static final int CALLERS_PER_PROXY = 6;

    /** A sixth of customer A's operations per second, as they are spread over six groups. */
    private static final double OPERATIONS_PER_SECOND = 126;

    private final WorkspaceDeployment deployment =
            new WorkspaceDeployment(PROXIES_PER_DOMAIN, MAX_CONNECTIONS, names(WORKSPACES));

    private static Set<String> names(int count) {
        return IntStream.range(0, count)
                .mapToObj(WorkspaceLoad::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns what callers of a workspace are answered, by the id of the statement. */
    private WorkspaceCaller caller(String proxy, String workspace, Map<String, String> outcomes) {
        return new WorkspaceCaller(deployment.engine(proxy), workspace, outcomes::put);
    }

    private void setStatementMillis(int millis) {
        deployment.servers.forEach(s -> s.load.setStatementMillis(text -> millis));
    }

    private int refusedConnects() {
        return deployment.servers.stream().mapToInt(FakeServer::refusedConnects).sum();
    }

    /**
     * Guards against a statement that reaches a server under the name of another workspace, also
     * while holders, primaries and the configuration change.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aStatementNeverRunsOnAConnectionOfAnotherWorkspace(long seed) {
        List<String> wrong = new ArrayList<>();
        Set<String> arrived = new HashSet<>();
        for (FakeServer server : deployment.servers) {
            server.load.setListener(
                    (workspace, id) -> {
                        if (id.contains("#")) {
                            arrived.add(id);
                            if (!id.startsWith(workspace + "#")) {
                                wrong.add(id + " on a connection of " + workspace);
                            }
                        }
                    });
        }
        SplittableRandom random = new SplittableRandom(seed);
        new WorkspaceLoad(deployment, WORKSPACES, seed).start(300, 1, 12_000);
        for (int step = 0; step < 40; step++) {
            disturb(random);
            deployment.host.advance(300);
        }
        deployment.host.advance(3_000);
        assertThat(wrong).isEmpty();
        assertThat(arrived).hasSizeGreaterThan(2_000);
    }

    private void disturb(SplittableRandom random) {
        List<String> proxies = List.copyOf(deployment.engines.keySet());
        String proxy = proxies.get(random.nextInt(proxies.size()));
        FakeServer server = deployment.servers.get(random.nextInt(3));
        switch (random.nextInt(6)) {
            case 0 -> deployment.restart(proxy);
            case 1 -> deployment.promote(random.nextInt(3));
            case 2 -> deployment.setWorkspaces(names(WORKSPACES - random.nextInt(20)));
            case 3 -> {
                if (!server.leader()) {
                    server.crash();
                    deployment.host.afterMillis(400, server::restart);
                }
            }
            case 4 -> deployment.host.resetLinks();
            default -> {}
        }
    }

    /** Guards against a small workspace that waits as long as a large one has work. */
    @Test
    void smallWorkspacesAreServedWhileALargeOneUsesAllConnections() {
        // Without slots, only the number of connections limits the large workspace.
        deployment.servers.forEach(s -> s.load.setSlots(Integer.MAX_VALUE));
        setStatementMillis(55);
        for (String proxy : List.copyOf(deployment.engines.keySet())) {
            for (int i = 0; i < CALLERS_PER_PROXY; i++) {
                sendForever(proxy, WorkspaceLoad.name(0), i);
            }
        }
        deployment.host.advance(2_000);
        assertThat(deployment.servers.get(0).openSessions()).isGreaterThan(MAX_CONNECTIONS - 5);
        Map<String, String> outcomes = new HashMap<>();
        for (int i = 1; i <= 40; i++) {
            String proxy = deployment.holders("b", WorkspaceLoad.name(0)).get(0);
            String id = WorkspaceLoad.name(i) + "#1";
            caller(proxy, WorkspaceLoad.name(i), outcomes).send(id, "READ x", "strong");
            deployment.host.advance(250);
            assertThat(outcomes).as("answered within the objective").containsEntry(id, "ok");
        }
        assertThat(refusedConnects()).isZero();
        assertThat(deployment.mostSessions()).isLessThanOrEqualTo(MAX_CONNECTIONS);
    }

    private void sendForever(String proxy, String workspace, int number) {
        WorkspaceCaller[] caller = new WorkspaceCaller[1];
        int[] count = {0};
        Runnable send =
                () -> {
                    String id = workspace + "#" + proxy + "." + number + "." + ++count[0];
                    caller[0].send(id, "READ x", "strong");
                };
        caller[0] =
                new WorkspaceCaller(
                        deployment.engine(proxy),
                        workspace,
                        (id, outcome) -> deployment.host.afterMillis(1, send));
        send.run();
    }

    /** Guards against a workspace that is limited to the connections of one holder. */
    @Test
    void aLargeWorkspaceUsesAllHoldersOfItsDomainAndNoOtherProxy() {
        deployment.servers.get(0).load.setSlots(Integer.MAX_VALUE);
        setStatementMillis(700);
        Set<String> executing = new HashSet<>();
        deployment.servers.get(0).load.setListener((w, id) -> executing.add(id));
        Map<String, String> outcomes = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            caller("b0", "workspace-0", outcomes).send("workspace-0#" + i, "WRITE x 1", "strong");
            deployment.host.advance(5);
        }
        deployment.host.advance(300);
        executing.removeIf(id -> !id.contains("#"));
        assertThat(executing)
                .hasSizeGreaterThan(deployment.plan().maximum() * 2)
                .hasSizeLessThanOrEqualTo(deployment.plan().maximum() * 3);
        assertThat(refusedConnects()).isZero();
    }

    /** Guards against connections of every workspace at every holder. */
    @Test
    void theConnectionsOfAWorkspaceGatherAtOneHolder() {
        List<String> connected = new ArrayList<>();
        deployment.servers.forEach(
                s ->
                        s.load.setListener(
                                (workspace, id) -> {
                                    if (id.equals("CONNECT")) {
                                        connected.add(workspace);
                                    }
                                }));
        Map<String, String> outcomes = new HashMap<>();
        for (int i = 0; i < PROXIES_PER_DOMAIN; i++) {
            caller("b" + i, "workspace-7", outcomes).send("workspace-7#" + i, "READ x", "strong");
            deployment.host.advance(100);
        }
        assertThat(outcomes.values()).hasSize(PROXIES_PER_DOMAIN).containsOnly("ok");
        assertThat(connected).containsExactly("workspace-7");
    }

    /** Guards against refused connections while holders that start anew replace others. */
    @Test
    void connectionsStayBelowTheLimitOfTheServersWhileHoldersChange() {
        new WorkspaceLoad(deployment, WORKSPACES, 5).start(OPERATIONS_PER_SECOND, 7.5, 20_000);
        for (int round = 0; round < 20; round++) {
            deployment.host.advance(700);
            String domain = WorkspaceDeployment.DOMAINS.get(round % 3);
            String holder = deployment.holders(domain, "").get(round % 2);
            deployment.kill(holder);
            deployment.unlist(holder);
            deployment.host.advance(300);
            deployment.restart(holder);
        }
        assertThat(refusedConnects()).isZero();
        assertThat(deployment.mostSessions()).isLessThanOrEqualTo(MAX_CONNECTIONS);
    }

    /** Guards against connections for no one, and against a leader that is not probed. */
    @Test
    void withoutStatementsOnlyTheLeaderIsProbed() {
        deployment.host.advance(5_000);
        assertThat(deployment.servers.get(0).connects()).isEqualTo(9);
        assertThat(deployment.servers.get(1).connects()).isZero();
        assertThat(deployment.servers.get(2).connects()).isZero();
        deployment.servers.get(0).setUnresponsive(true);
        deployment.host.advance(1_000);
        String holder = deployment.holders("b", "").get(0);
        assertThat(deployment.engine(holder).observations(1).get(0).silentNanos())
                .isGreaterThan(500_000_000L);
    }

    /** Guards against a leader that no longer answers probes because its connections belong. */
    @Test
    void probesUseTheConnectionsOfWorkspaces() {
        Map<String, String> outcomes = new HashMap<>();
        String holder = deployment.holders("b", "workspace-3").get(0);
        for (int i = 0; i < 7; i++) {
            caller(holder, "workspace-3", outcomes).send("workspace-3#" + i, "READ x", "strong");
        }
        deployment.host.advance(1_000);
        int connects = deployment.servers.get(0).connects();
        deployment.host.advance(20_000);
        assertThat(deployment.servers.get(0).connects()).isEqualTo(connects);
        assertThat(deployment.engine(holder).observations(1).get(0).silentNanos()).isZero();
    }

    /** Guards against connections that nobody can use any more. */
    @Test
    void theIdleConnectionsOfARemovedWorkspaceAreClosed() {
        Map<String, String> outcomes = new HashMap<>();
        caller("b0", "workspace-3", outcomes).send("workspace-3#1", "READ x", "strong");
        deployment.host.advance(100);
        int open = deployment.servers.get(0).openSessions();
        deployment.host.advance(5_000);
        assertThat(deployment.servers.get(0).openSessions()).isEqualTo(open);
        deployment.setWorkspaces(names(3));
        deployment.host.advance(2_000);
        assertThat(deployment.servers.get(0).openSessions()).isEqualTo(open - 1);
    }

    /**
     * Guards against openings that take the servers' slots: at 12 ms each, one for two operations
     * would take a fifth of the mean work of an operation.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1, 1.7})
    void mostOperationsFindAConnectionAndAllAreInTime(double burst) {
        WorkspaceLoad load = new WorkspaceLoad(deployment, WORKSPACES, 1);
        load.run(OPERATIONS_PER_SECOND * burst, 1, 5_000);
        int warm = deployment.connects();
        int before = load.results().size();
        load.run(OPERATIONS_PER_SECOND * burst, 1, 15_000);
        List<WorkspaceLoad.Result> results = load.results().subList(before, load.results().size());
        double openings = (deployment.connects() - warm) / (double) results.size();
        assertThat(openings).isLessThan(0.5);
        assertThat(results).allMatch(WorkspaceLoad.Result::inTime);
        assertThat(refusedConnects()).isZero();
    }
}
