package org.ragwortmoor.coordination.session;

import io.vavr.collection.LinkedHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragwortmoor.coordination.placement.ConnectionPlan;
import org.ragwortmoor.coordination.placement.HolderRanking;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;

/**
 * Four proxies in failure domain {@code a}, of a fleet that is too large to connect directly to a
 * group of three fake servers; s1 leads.
 */
final class ForwardingFixture {
    static final int PROXIES = 4;
    static final int MAX_CONNECTIONS = 9;
    private static final int FLEET_PROXIES = 8;
    private static final int FLEET_DOMAINS = 2;

    final SimulatedHost host = new SimulatedHost();
    final List<FakeServer> servers = new ArrayList<>();
    final List<SessionEngine> engines = new ArrayList<>();
    final List<Set<String>> unreachable = new ArrayList<>();
    private final Set<String> listed = new HashSet<>();
    private long revision;

    ForwardingFixture() {
        for (int i = 1; i <= 3; i++) {
            FakeServer server = new FakeServer(host, "s" + i, "abc".substring(i - 1, i), i == 1);
            servers.add(server.setMaxConnections(MAX_CONNECTIONS));
        }
        for (int i = 0; i < PROXIES; i++) {
            unreachable.add(new HashSet<>());
            engines.add(newEngine(i));
            listed.add("p" + i);
        }
        updateDirectory();
        host.advance(600);
    }

    private SessionEngine newEngine(int proxy) {
        String name = "p" + proxy;
        SessionEngine engine =
                new SessionEngine(
                        host.proxy(name, unreachable.get(proxy)),
                        new ProxyIdentity(name, "a"),
                        new NoOpDecisionLog());
        engine.setLeasesRequired(false);
        host.setEngine(name, engine);
        tick(proxy, engine);
        return engine;
    }

    private void tick(int proxy, SessionEngine engine) {
        boolean replaced = engines.size() > proxy && engines.get(proxy) != engine;
        if (!replaced) {
            engine.tick();
            host.schedule(host.now() + SessionEngine.tickNanos(), () -> tick(proxy, engine));
        }
    }

    /** Distributes the directory, which lists the given proxies as able to take work. */
    void updateDirectory() {
        revision++;
        List<ServerRecord> records =
                servers.stream().map(s -> s.record().withPrimary(s.leader())).toList();
        RouteTable table =
                new RouteTable(
                        1,
                        Deployment.routes(1).routes(),
                        List.of(new GroupLimits("g", MAX_CONNECTIONS, 0)),
                        3_000,
                        "");
        LinkedHashMap<String, String> neighbours = LinkedHashMap.empty();
        for (String proxy : listed.stream().sorted().toList()) {
            neighbours = neighbours.put(proxy, "10.1.0.1:" + proxy);
        }
        Fleet fleet = new Fleet(FLEET_PROXIES, FLEET_DOMAINS, neighbours);
        for (SessionEngine engine : engines) {
            engine.update(new DirectoryView(table, revision, records, revision, fleet));
        }
    }

    /** Removes a proxy from the directory. */
    void unlist(int proxy) {
        listed.remove("p" + proxy);
        updateDirectory();
    }

    /** Ends the process of a proxy and starts it anew. */
    void restart(int proxy) {
        host.setEngine("p" + proxy, null);
        host.closeConnections("p" + proxy);
        engines.set(proxy, newEngine(proxy));
        updateDirectory();
    }

    /** Returns the proxy that holds the connections. */
    int holder() {
        return ranked(0);
    }

    /** Returns the proxy that replaces the holder. */
    int substitute() {
        return ranked(1);
    }

    /** Returns a proxy that forwards, and is not the substitute. */
    int edge() {
        for (int i = 0; i < PROXIES; i++) {
            if (i != holder() && i != substitute()) {
                return i;
            }
        }
        throw new IllegalStateException("no such proxy");
    }

    private int ranked(int rank) {
        List<String> members = listed.stream().sorted().toList();
        int holders =
                ConnectionPlan.of(MAX_CONNECTIONS, FLEET_PROXIES, FLEET_DOMAINS).holdersPerDomain();
        List<String> candidates = HolderRanking.of("g", "an edge", members, holders).candidates();
        return Integer.parseInt(candidates.get(rank).substring(1));
    }

    Caller caller(int proxy, String database) {
        return new Caller(host, engines.get(proxy), database);
    }

    int openConnections() {
        return servers.stream().mapToInt(FakeServer::openSessions).sum();
    }
}
