import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** The heartbeats of the servers, each to the first control address that answers. */
final class Heartbeats {
    private static final Map<Group.Server, String> preferred = new ConcurrentHashMap<>();
    static volatile List<InetSocketAddress> control = List.of();

    private Heartbeats() {}

    static void start(Group.Server server, long millis) {
        server.group().timers.scheduleWithFixedDelay(
                () -> beat(server), 0, millis, TimeUnit.MILLISECONDS);
    }

    static void beat(Group.Server server) {
        if (server.down) {
            return;
        }
        long sequence;
        synchronized (server.group()) {
            sequence = ++server.sequence;
        }
        boolean drains = server.draining;
        String body =
                "{\"service\":\"" + server.group().service + "\",\"address\":\""
                        + server.address.getAddress().getHostAddress() + ":" + server.address.getPort()
                        + "\",\"zone\":\"" + server.zone + "\",\"version\":\"v1\",\"capacity\":5,\"state\":\""
                        + (drains ? "draining" : "ready")
                        + "\",\"cold_remaining_ms\":0,\"db_role\":\""
                        + (server.primary ? "primary" : "replica") + "\",\"sequence\":" + sequence
                        + ",\"born\":" + server.born + "}";
        for (InetSocketAddress to : control) {
            if (server.cutOff.contains(to.getAddress().getHostAddress())) {
                continue;
            }
            int status =
                    Http.call(to, server.address.getAddress(), "POST",
                            "/instances/" + server.id + "/heartbeat", Map.of(), body, 1000).status();
            if (status / 100 == 2) {
                if (drains && server.drainAcknowledgedAt == 0) {
                    server.drainAcknowledgedAt = System.nanoTime();
                    server.group().record.line("draining of " + server.id + " is acknowledged");
                }
                return;
            }
        }
    }
}
