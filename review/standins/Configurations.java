/** Configurations as the operator sends them, with one service and three routes. */
final class Configurations {
    private Configurations() {}

    static String of(int version, int syncReplicas) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-1", "bookings", "primary", 0) + ","
                + route("r-2", "upkeep", "read_own_writes", 2500) + ","
                + route("r-3", "tracking", "bounded_staleness", 1500)
                + "],\"services\":[{\"name\":\"fleetdb1\",\"health_path\":\"/health\",\"max_connections\":33,"
                + "\"protocol\":\"h1\",\"tls_enabled\":false,\"sync_replicas\":" + syncReplicas + "}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}";
    }

    private static String route(String name, String host, String kind, int staleness) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + host
                + "\",\"path_prefix\":\"/\",\"route_type\":\"" + kind
                + "\",\"timeout_ms\":1000,\"target_latency_ms\":400,\"priority\":1,"
                + "\"service\":\"fleetdb1\",\"max_attempts\":2"
                + (staleness > 0 ? ",\"max_staleness_ms\":" + staleness : "") + "}";
    }
}
