import java.util.ArrayList;
import java.util.List;

/** Configurations of the operator, in the form of the protocol page. */
final class Configs {
    private Configs() {}

    static String route(
            String name, String host, String type, int timeout, int target, int staleness) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host
                + "\",\"path_prefix\":\"/\",\"route_type\":\"" + type + "\",\"timeout_ms\":"
                + timeout + ",\"target_latency_ms\":" + target
                + ",\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":2"
                + (staleness > 0 ? ",\"max_staleness_ms\":" + staleness : "") + "}";
    }

    /** Returns a configuration with the three routes of a service and some more. */
    static String of(int version, int more) {
        List<String> routes = new ArrayList<>();
        routes.add(route("r-ctnfzs9", "lepu270", "primary", 1000, 200, 0));
        routes.add(route("r-qasnmgk", "xapu221ny95", "bounded_staleness", 3000, 800, 1500));
        routes.add(route("r-k7b2ex5", "fiti832ti23", "read_own_writes", 1000, 400, 2500));
        for (int i = 0; i < more; i++) {
            String name = String.format("%05d", i);
            routes.add(route("r-more" + name, "more" + name + "db", "primary", 800, 100, 0));
        }
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\","
                + "\"max_connections\":33,\"protocol\":\"h1\",\"tls_enabled\":false,"
                + "\"sync_replicas\":0}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}";
    }
}
