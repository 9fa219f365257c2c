package org.ragwortmoor.http;

import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.util.HashMap;
import java.util.Map;

/** A Micronaut server for one process; several may run in one virtual machine of Java. */
public final class HttpServer implements AutoCloseable {
    private final ApplicationContext context;
    private final EmbeddedServer server;

    private HttpServer(ApplicationContext context, EmbeddedServer server) {
        this.context = context;
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param host IP number to listen on
     * @param port port to listen on; 0 for any
     * @param maxRequestBytes largest accepted body in bytes; a larger one is answered with 413
     * @param services implementations of {@link ProxyApi}, {@link ControlApi} and {@link
     *     ProcessApi}; routes of absent ones do not exist
     * @throws io.micronaut.runtime.exceptions.ApplicationStartupException if the address is in use;
     *     choose another one
     */
    public static HttpServer start(
            String host, int port, long maxRequestBytes, Object... services) {
        Map<String, Object> properties = new HashMap<>();
        properties.put("micronaut.server.host", host);
        properties.put("micronaut.server.port", port);
        properties.put("micronaut.server.max-request-size", maxRequestBytes);
        properties.put("micronaut.server.netty.worker.threads", 2);
        // Routes of operators are the project's own; the management endpoints stay closed.
        properties.put("endpoints.all.enabled", false);
        properties.put("micronaut.application.name", "ragwortmoor");
        properties.put("jackson.deserialization.fail-on-unknown-properties", true);
        ApplicationContext context =
                ApplicationContext.builder()
                        .properties(properties)
                        .singletons(services)
                        .banner(false)
                        .deduceEnvironment(false)
                        .build();
        context.start();
        EmbeddedServer server = context.getBean(EmbeddedServer.class);
        server.start();
        return new HttpServer(context, server);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.getPort();
    }

    /** Stops the server. */
    @Override
    public void close() {
        server.stop();
        context.close();
    }
}
