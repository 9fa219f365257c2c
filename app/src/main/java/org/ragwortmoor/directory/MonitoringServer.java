package org.ragwortmoor.directory;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ragwortmoor.daemon.MetricsText;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.transport.ConnectionGuard;
import org.ragwortmoor.transport.NettyHttpServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves a process's metrics and state dump over HTTP. */
public final class MonitoringServer {
    private static final int MAX_REQUEST_BYTES = 4 << 10;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private static final Logger LOG = LoggerFactory.getLogger(MonitoringServer.class);

    private MonitoringServer() {}

    /**
     * Starts listening. If the address is invalid or cannot be bound, a warning is logged and the
     * process runs without metrics.
     *
     * @param address IP address and port; empty if metrics are not served
     * @param guard limits the connections
     * @param state lines of the state dump; called on the event loop
     */
    public static void start(
            EventLoopGroup loops,
            String address,
            PrometheusRegistry registry,
            ConnectionGuard guard,
            Supplier<List<String>> state) {
        if (address.isEmpty()) {
            return;
        }
        Either<String, Address> parsed = Address.parse(address);
        if (parsed.isLeft()) {
            LOG.warn("event=metrics_unavailable reason=\"{}\"", parsed.getLeft());
            return;
        }
        Address target = parsed.get();
        try {
            new NettyHttpServer(
                    loops,
                    target.ip().getHostAddress(),
                    target.port(),
                    MAX_REQUEST_BYTES,
                    guard,
                    request -> CompletableFuture.completedFuture(reply(request, registry, state)));
        } catch (IOException e) {
            LOG.warn("event=metrics_unavailable reason=\"{}\"", e.getMessage());
        }
    }

    private static NettyHttpServer.Response reply(
            NettyHttpServer.Request request,
            PrometheusRegistry registry,
            Supplier<List<String>> state) {
        return switch (request.method() + " " + request.path()) {
            case "GET /metrics" -> NettyHttpServer.Response.text(OK, MetricsText.of(registry));
            case "GET /state" ->
                    NettyHttpServer.Response.text(OK, String.join("\n", state.get()) + "\n");
            default -> NettyHttpServer.Response.of(NOT_FOUND);
        };
    }
}
