import com.sun.net.httpserver.HttpServer;
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** The platform's call POST /promotions, with its check of fencing tokens. */
final class Platform {
    private final Map<String, Group> groups = new ConcurrentHashMap<>();
    private final Map<String, Long> tokens = new HashMap<>();
    private final Record record;
    /** Whether the platform is down: calls are neither answered nor carried out. */
    volatile boolean down;

    Platform(InetSocketAddress address, Record record) throws IOException {
        this.record = record;
        HttpServer server = HttpServer.create(address, 50);
        server.setExecutor(Executors.newCachedThreadPool(Standins::daemon));
        server.createContext(
                "/promotions",
                exchange -> {
                    if (down) {
                        record.line("POST /promotions reaches the platform, which is down");
                        return;
                    }
                    String body =
                            new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                    int status =
                            promote(
                                    field(body, "service"),
                                    field(body, "id"),
                                    exchange.getRequestHeaders().getFirst("Duty-Holder"),
                                    Long.parseLong(
                                            exchange.getRequestHeaders().getFirst("Fencing-Token")));
                    exchange.sendResponseHeaders(status, -1);
                    exchange.close();
                });
        server.start();
    }

    void add(Group group) {
        groups.put(group.service, group);
    }

    private static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\"");
        int colon = json.indexOf(':', at);
        int start = json.indexOf('"', colon) + 1;
        return json.substring(start, json.indexOf('"', start));
    }

    private synchronized int promote(String service, String id, String holder, long token) {
        Group group = groups.get(service);
        Group.Server server = group == null ? null : group.server(id);
        int status = 200;
        if (token < tokens.getOrDefault(service, 0L) || server == null || server.down) {
            status = 409;
        }
        tokens.merge(service, token, Math::max);
        record.line(
                "POST /promotions service=" + service + " id=" + id + " holder=" + holder + " token="
                        + token + " -> " + status);
        if (status == 200) {
            group.promote(server);
        }
        return status;
    }
}
