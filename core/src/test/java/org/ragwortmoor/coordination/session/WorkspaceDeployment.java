package org.ragwortmoor.coordination.session;

import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ragwortmoor.coordination.placement.ConnectionPlan;
import org.ragwortmoor.coordination.placement.HolderRanking;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.state.workspace.Workspace;

/**
 * Proxies in three failure domains, of a fleet that is too large to connect directly to a group of
 * three servers, one in each domain; s1 leads until {@link #promote}. Callers belong to workspaces.
 */
final class WorkspaceDeployment {
    static final int FLEET_PROXIES = 83;
    static final List<String> DOMAINS = List.of("a", "b", "c");
    private static final int REPLICATION_MILLIS = 20;
    private static final int SLOTS = 6;
    private static final int CONNECT_MILLIS = 12;

    final SimulatedHost host = new SimulatedHost();
    final List<FakeServer> servers = new ArrayList<>();
    final Map<String, SessionEngine> engines = new TreeMap<>();
    private final Map<String, Set<String>> unreachable = new HashMap<>();
    private final Set<String> listed = new TreeSet<>();
    private final int maxConnections;
    private Set<String> workspaces;
    private long revision;
    private int mostSessions;

    /**
     * Creates a deployment.
     *
     * @param proxiesPerDomain proxies that take part; the fleet counts {@link #FLEET_PROXIES}
     * @param maxConnections connections that each server accepts
     */
    WorkspaceDeployment(int proxiesPerDomain, int maxConnections, Set<String> workspaces) {
        this.maxConnections = maxConnections;
        this.workspaces = Set.copyOf(workspaces);
        for (int i = 0; i < DOMAINS.size(); i++) {
            FakeServer server = new FakeServer(host, "s" + (i + 1), DOMAINS.get(i), i == 0);
            server.setMaxConnections(maxConnections);
            server.load.setSlots(SLOTS).setConnectMillis(CONNECT_MILLIS);
            servers.add(server);
        }
        for (String domain : DOMAINS) {
            for (int i = 0; i < proxiesPerDomain; i++) {
                start(domain + i);
            }
        }
        updateDirectory();
        replicate();
        host.advance(600);
    }

    private void start(String proxy) {
        Set<String> cutOff = unreachable.computeIfAbsent(proxy, p -> new HashSet<>());
        SessionEngine engine =
                new SessionEngine(
                        host.proxy(proxy, cutOff),
                        new ProxyIdentity(proxy, proxy.substring(0, 1)),
                        new NoOpDecisionLog());
        engine.setLeasesRequired(false);
        engines.put(proxy, engine);
        listed.add(proxy);
        host.setEngine(proxy, engine);
        tick(proxy, engine);
    }

    private void tick(String proxy, SessionEngine engine) {
        if (engines.get(proxy) == engine) {
            engine.tick();
            host.schedule(host.now() + SessionEngine.tickNanos(), () -> tick(proxy, engine));
        }
    }

    /** Copies the log of the primary to the replicas, and observes the number of connections. */
    private void replicate() {
        FakeServer primary = servers.stream().filter(FakeServer::leader).findFirst().get();
        for (FakeServer server : servers) {
            server.setPosition(primary.position().term(), primary.position().index());
            mostSessions = Math.max(mostSessions, server.openSessions());
        }
        host.afterMillis(REPLICATION_MILLIS, this::replicate);
    }

    void updateDirectory() {
        revision++;
        List<ServerRecord> records = servers.stream().map(this::record).toList();
        RouteTable table =
                new RouteTable(
                        revision,
                        Deployment.routes(1).routes(),
                        List.of(new GroupLimits("g", maxConnections, 0)),
                        3_000,
                        Option.some(
                                workspaces.stream()
                                        .map(w -> new Workspace(w, List.of(), 0, Option.none()))
                                        .toList()),
                        "");
        engines.forEach(
                (proxy, engine) ->
                        engine.update(
                                new DirectoryView(
                                        table, revision, records, revision, fleet(proxy))));
    }

    private Fleet fleet(String proxy) {
        LinkedHashMap<String, String> neighbours = LinkedHashMap.empty();
        for (String neighbour : neighbours(proxy)) {
            neighbours = neighbours.put(neighbour, "10.1.0.1:" + neighbour);
        }
        return new Fleet(FLEET_PROXIES, DOMAINS.size(), neighbours);
    }

    private List<String> neighbours(String proxy) {
        return listed.stream().filter(p -> p.charAt(0) == proxy.charAt(0)).toList();
    }

    private ServerRecord record(FakeServer server) {
        ServerRecord record = server.record();
        return new ServerRecord(
                record.id(),
                record.startedAtMillis(),
                record.group(),
                record.address(),
                record.failureDomain(),
                SLOTS,
                record.state(),
                server.leader(),
                record.changedAt());
    }

    /** Makes another server the primary. */
    void promote(int server) {
        long term = servers.get(0).position().term() + 1;
        long index = servers.get(0).position().index() + 1;
        for (FakeServer each : servers) {
            each.setLeader(each == servers.get(server)).setPosition(term, index);
        }
        updateDirectory();
    }

    void setWorkspaces(Set<String> names) {
        workspaces = Set.copyOf(names);
        updateDirectory();
    }

    /** Ends the process of a proxy; the directory still lists it. */
    void kill(String proxy) {
        engines.remove(proxy);
        host.setEngine(proxy, null);
        host.closeConnections(proxy);
    }

    /** Removes a proxy that has ended from the directory. */
    void unlist(String proxy) {
        listed.remove(proxy);
        updateDirectory();
    }

    void restart(String proxy) {
        kill(proxy);
        start(proxy);
        updateDirectory();
    }

    /** Returns the holders of a domain in the order in which they are used for a workspace. */
    List<String> holders(String domain, String workspace) {
        int count = plan().holdersPerDomain();
        List<String> members = neighbours(domain);
        HolderRanking ranking = HolderRanking.of("g", members.get(0), members, count);
        return ranking.candidates("g", workspace).subList(0, count);
    }

    ConnectionPlan plan() {
        return ConnectionPlan.of(maxConnections, FLEET_PROXIES, DOMAINS.size());
    }

    SessionEngine engine(String proxy) {
        return engines.get(proxy);
    }

    /** Returns the highest number of connections that a server has had. */
    int mostSessions() {
        return mostSessions;
    }

    int connects() {
        return servers.stream().mapToInt(FakeServer::connects).sum();
    }
}
