package org.ragwortmoor.daemon;

import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.ragwortmoor.coordination.consensus.ConsensusSettings;
import org.ragwortmoor.coordination.engine.EngineSettings;
import org.ragwortmoor.protocol.FrameLimits;
import org.ragwortmoor.standin.StandinProcess;
import org.ragwortmoor.standin.StandinServer;
import org.ragwortmoor.standin.StandinSettings;

/**
 * A whole deployment in one Java process, on loopback: control processes, proxies and stand-in
 * endpoints, connected by the same transports as separate processes.
 */
public final class EmbeddedDeployment implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final long SESSION_MILLIS = 3_600_000;
    private static final long MAX_REQUEST_BYTES = 1 << 20;
    private static final int PROXY_WORKERS = 2;

    /** Another process can take a port between its choice and its use. */
    private static final int START_ATTEMPTS = 3;

    private final Shape shape;
    private final Path folder;
    private final Map<String, String> members = new LinkedHashMap<>();
    private final Map<String, ControlNode> controls = new LinkedHashMap<>();
    private final Map<String, ProxyNode> proxies = new LinkedHashMap<>();
    private final Map<String, StandinProcess> endpoints = new LinkedHashMap<>();
    private final RandomGenerator random;

    /**
     * What a deployment consists of.
     *
     * @param failureDomains names of the failure domains
     * @param groups names of the groups; each has three endpoints, in failure domains in turn
     * @param controls number of control processes
     * @param proxies number of proxies
     * @param slots slots per endpoint
     * @param delays simulated times of the endpoints
     * @param engine thresholds of the proxies' engines
     * @param seed seed of incarnations
     */
    public record Shape(
            List<String> failureDomains,
            List<String> groups,
            int controls,
            int proxies,
            int slots,
            StandinSettings.Delays delays,
            EngineSettings engine,
            long seed) {
        /** Returns the shape of the Carritos deployment. */
        public static Shape carritos() {
            return new Shape(
                    List.of("colina", "pirque", "lampa"),
                    List.of("fleet-colina", "fleet-pirque", "fleet-lampa"),
                    3,
                    7,
                    5,
                    StandinSettings.Delays.DEFAULT.withOneWayMicros(1_000),
                    EngineSettings.defaults(),
                    1);
        }

        /** Returns the shape of the Speelrooster deployment. */
        public static Shape speelrooster() {
            return new Shape(
                    List.of("gent", "brugge", "aalst", "kortrijk"),
                    List.of("rota-1", "rota-2", "rota-3"),
                    3,
                    7,
                    2,
                    StandinSettings.Delays.DEFAULT.withOneWayMicros(1_000),
                    EngineSettings.defaults(),
                    1);
        }

        /** Returns this shape with other numbers of processes. */
        public Shape withSizes(List<String> otherGroups, int otherControls, int otherProxies) {
            return new Shape(
                    failureDomains,
                    otherGroups,
                    otherControls,
                    otherProxies,
                    slots,
                    delays,
                    engine,
                    seed);
        }
    }

    private EmbeddedDeployment(Shape shape, Path folder) {
        this.shape = shape;
        this.folder = folder;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(shape.seed());
    }

    /**
     * Starts a deployment.
     *
     * @param folder folder for the data of the control processes
     * @throws IOException if a port is taken or the folder cannot be used
     */
    public static EmbeddedDeployment start(Shape shape, Path folder) throws IOException {
        for (int attempt = 1; ; attempt++) {
            EmbeddedDeployment deployment =
                    new EmbeddedDeployment(shape, folder.resolve("start-" + attempt));
            try {
                deployment.startAll();
                return deployment;
            } catch (IOException e) {
                deployment.close();
                if (attempt == START_ATTEMPTS) {
                    throw e;
                }
            } catch (RuntimeException e) {
                deployment.close();
                throw e;
            }
        }
    }

    private void startAll() throws IOException {
        List<Integer> ports = FreePorts.find(shape.controls());
        for (int i = 0; i < shape.controls(); i++) {
            members.put("control-" + (i + 1), HOST + ":" + ports.get(i));
        }
        for (String node : members.keySet()) {
            startControl(node);
        }
        for (String group : shape.groups()) {
            for (int i = 1; i <= 3; i++) {
                startEndpoint(group, group + "-" + i, 0);
            }
        }
        for (int i = 1; i <= shape.proxies(); i++) {
            startProxy("proxy-" + i);
        }
    }

    /**
     * Starts a control process that is not running, on its old address and data.
     *
     * @throws IOException if its port is taken or its files are damaged
     */
    public void startControl(String node) throws IOException {
        ControlConfig config =
                new ControlConfig(
                        node,
                        domain(number(node)),
                        HOST,
                        port(members.get(node)),
                        HOST,
                        0,
                        members,
                        Map.of(),
                        folder.resolve(node),
                        MAX_REQUEST_BYTES,
                        ConsensusSettings.defaults(members));
        ControlNode started = ControlNode.start(config).getOrElseThrow(e -> new IOException(e));
        controls.put(node, started);
    }

    /** Starts a proxy that is not running. */
    public void startProxy(String name) {
        ProxyConfig config =
                new ProxyConfig(
                        name,
                        domain(number(name)),
                        HOST,
                        0,
                        List.copyOf(members.values()),
                        PROXY_WORKERS,
                        SESSION_MILLIS,
                        MAX_REQUEST_BYTES,
                        ProxyConfig.Times.defaults(),
                        shape.engine());
        proxies.put(name, ProxyNode.start(config));
    }

    private void startEndpoint(String group, String endpoint, int port) throws IOException {
        StandinSettings settings =
                new StandinSettings(
                        group,
                        3,
                        endpoint,
                        HOST,
                        port,
                        domain(number(endpoint)),
                        shape.slots(),
                        StandinSettings.DEFAULT_CONNECTION_LIMIT,
                        StandinSettings.DEFAULT_QUEUE_LIMIT,
                        List.copyOf(members.values()),
                        Option.none(),
                        shape.delays(),
                        FrameLimits.DEFAULT);
        endpoints.put(endpoint, new StandinProcess(settings, random));
    }

    /** Ends an endpoint at once, as a kill would. */
    public void killEndpoint(String endpoint) {
        endpoints.remove(endpoint).close();
    }

    /** Ends a control process at once. */
    public void killControl(String node) {
        controls.remove(node).close();
    }

    /** Ends a proxy at once. */
    public void killProxy(String name) {
        proxies.remove(name).close();
    }

    /** Returns the running proxies by name. */
    public Map<String, ProxyNode> proxies() {
        return Map.copyOf(proxies);
    }

    /** Returns the running control processes by node identifier. */
    public Map<String, ControlNode> controls() {
        return Map.copyOf(controls);
    }

    /** Returns the peer addresses of the control processes by node identifier. */
    public Map<String, String> members() {
        return Map.copyOf(members);
    }

    /** Returns the data folder of a control process. */
    public Path dataFolder(String node) {
        return folder.resolve(node);
    }

    /** Returns the stand-in endpoint with this identifier. */
    public StandinServer endpoint(String endpoint) {
        return endpoints.get(endpoint).server();
    }

    /** Returns the identifiers of the running endpoints. */
    public List<String> runningEndpoints() {
        return List.copyOf(endpoints.keySet());
    }

    /** Returns the HTTP addresses of the running proxies. */
    public List<String> proxyAddresses() {
        return proxies.values().stream().map(p -> HOST + ":" + p.httpPort()).toList();
    }

    /** Returns the HTTP addresses of the running control processes. */
    public List<String> controlAddresses() {
        return controls.values().stream().map(c -> HOST + ":" + c.httpPort()).toList();
    }

    private String domain(int number) {
        return shape.failureDomains().get((number - 1) % shape.failureDomains().size());
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    @Override
    public void close() {
        List<AutoCloseable> all = new ArrayList<>(proxies.values());
        all.addAll(endpoints.values());
        all.addAll(controls.values());
        for (AutoCloseable process : all) {
            try {
                process.close();
            } catch (Exception e) {
                throw new IllegalStateException("an embedded process did not close", e);
            }
        }
        proxies.clear();
        endpoints.clear();
        controls.clear();
    }
}
