package org.ragwortmoor.coordination.session;

import io.vavr.collection.LinkedHashMap;
import java.util.List;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.routes.RouteTable;

/** An engine in failure domain {@code a} with a group of three fake servers; s1 leads. */
final class Deployment {
    final SimulatedHost host = new SimulatedHost();
    final FakeServer s1 = new FakeServer(host, "s1", "b", true);
    final FakeServer s2 = new FakeServer(host, "s2", "a", false);
    final FakeServer s3 = new FakeServer(host, "s3", "c", false);
    final SessionEngine engine =
            new SessionEngine(host, new ProxyIdentity("p", "a"), new NoOpDecisionLog());
    private long revision = 1;

    Deployment() {
        engine.setLeasesRequired(false);
        updateDirectory(routes(1), "s1");
        tick();
        // Long enough for the first proof of leadership.
        host.advance(600);
    }

    private void tick() {
        engine.tick();
        host.schedule(host.now() + SessionEngine.tickNanos(), this::tick);
    }

    /** Applies a directory that names a primary. */
    void updateDirectory(RouteTable table, String primary) {
        revision++;
        List<ServerRecord> servers =
                List.of(s1, s2, s3).stream()
                        .map(s -> s.record().withPrimary(s.record().id().equals(primary)))
                        .toList();
        engine.update(new DirectoryView(table, revision, servers, revision, Deployment.fleet(7)));
    }

    /** Returns a fleet of proxies that do not know each other. */
    static Fleet fleet(int proxies) {
        return new Fleet(proxies, 3, LinkedHashMap.empty());
    }

    static RouteTable routes(long version) {
        return new RouteTable(
                version,
                List.of(
                        route("strong", RouteKind.PRIMARY, 0),
                        route("bounded", RouteKind.BOUNDED_STALENESS, 1_500),
                        route("own", RouteKind.READ_YOUR_WRITES, 2_500)),
                List.of(new GroupLimits("g", 33, 0)),
                3_000,
                "");
    }

    private static Route route(String database, RouteKind kind, int staleness) {
        return new Route(database, database, "/", kind, "g", 1_000, 200, 1, staleness);
    }

    Caller caller(String database) {
        return new Caller(host, engine, database);
    }
}
