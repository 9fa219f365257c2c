package org.ragwortmoor.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.ragwortmoor.daemon.Eventually;
import org.ragwortmoor.standin.FaultSwitch;
import org.ragwortmoor.standin.StandinControl;

/**
 * Three control processes, one group of three endpoints and two proxies, each a Java process of its
 * own on loopback. The second proxy reaches the control processes through relays; if asked for, the
 * control processes reach each other through relays too.
 */
final class ProcessHarness implements AutoCloseable {
    static final String GROUP = "fleet-colina";

    /** Generous, because the machine may be busy; no promise is about this time. */
    static final Duration LIMIT = Duration.ofSeconds(90);

    /** The proxy whose links to the control processes can be cut. */
    static final String RELAYED_PROXY = "proxy-2";

    private static final String HOST = "127.0.0.1:";
    private static final List<String> DOMAINS = List.of("colina", "pirque", "lampa");

    /** The least allowed, so that hundreds of changes cause snapshots. */
    private static final int SNAPSHOT_ENTRIES = 100;

    private static final int CONTROLS = 3;
    private static final int ENDPOINTS = 3;
    private static final int PROXIES = 2;

    private final Path folder;
    private final Options options;
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final List<LinkRelay> relays = new ArrayList<>();
    private final Map<String, LinkRelay> controlRelays = new LinkedHashMap<>();
    private List<Integer> controlPeers = List.of();

    /**
     * What differs between deployments.
     *
     * @param connectionLimit connections that an endpoint accepts
     * @param relayedControls whether control processes reach each other through relays
     */
    record Options(int connectionLimit, boolean relayedControls) {
        static final Options DEFAULT = new Options(30, false);
    }

    private ProcessHarness(Path folder, Options options) {
        this.folder = folder;
        this.options = options;
    }

    /** Starts a deployment and waits until both proxies serve. */
    static ProcessHarness start(Path folder, Options options) {
        ProcessHarness harness = new ProcessHarness(folder, options);
        try {
            harness.define();
            harness.processes.values().forEach(ManagedProcess::start);
            harness.awaitServing();
        } catch (RuntimeException | Error e) {
            harness.printLogs();
            harness.close();
            throw e;
        }
        return harness;
    }

    private void define() {
        List<Integer> ports = LoopbackPorts.find(4 * CONTROLS + ENDPOINTS + PROXIES);
        List<Integer> advertised = ports.subList(0, CONTROLS);
        List<Integer> relayed = ports.subList(CONTROLS, 2 * CONTROLS);
        List<Integer> http = ports.subList(2 * CONTROLS, 3 * CONTROLS);
        List<Integer> peers = advertised;
        defineControls(peers, http);
        if (options.relayedControls()) {
            peers = ports.subList(3 * CONTROLS, 4 * CONTROLS);
            relayControls(advertised, peers, http);
        }
        for (int i = 0; i < CONTROLS; i++) {
            relays.add(new LinkRelay(relayed.get(i), peers.get(i)));
        }
        controlPeers = List.copyOf(peers);
        int next = 4 * CONTROLS;
        String members = members(peers);
        for (int i = 0; i < ENDPOINTS; i++) {
            String address = HOST + ports.get(next++);
            Map<String, String> settings = new LinkedHashMap<>();
            settings.put("name", GROUP + "-" + (i + 1));
            settings.put("group", GROUP);
            settings.put("address", address);
            settings.put("connection-limit", Integer.toString(options.connectionLimit()));
            settings.put("control-addresses", members);
            define("endpoint", GROUP + "-" + (i + 1), i, address, settings);
        }
        for (int i = 0; i < PROXIES; i++) {
            String name = "proxy-" + (i + 1);
            String address = HOST + ports.get(next++);
            Map<String, String> settings = new LinkedHashMap<>();
            settings.put("name", name);
            settings.put("http-address", address);
            settings.put(
                    "control-addresses", name.equals(RELAYED_PROXY) ? members(relayed) : members);
            define("proxy", name, i, address, settings);
        }
    }

    private void defineControls(List<Integer> peers, List<Integer> http) {
        for (int i = 0; i < CONTROLS; i++) {
            Map<String, String> settings = new LinkedHashMap<>();
            settings.put("node-id", "control-" + (i + 1));
            settings.put("peer-address", HOST + peers.get(i));
            settings.put("http-address", HOST + http.get(i));
            settings.put("members", members(peers));
            settings.put("snapshot-entries", Integer.toString(SNAPSHOT_ENTRIES));
            define("control", "control-" + (i + 1), i, HOST + http.get(i), settings);
        }
    }

    /**
     * Puts relays between the control processes. Their log keeps the addresses of the first start,
     * so a second start on other ports leaves these addresses to the relays.
     */
    private void relayControls(List<Integer> advertised, List<Integer> peers, List<Integer> http) {
        controls().forEach(ManagedProcess::start);
        await(
                "the addresses in the log of each control process",
                () -> controls().stream().allMatch(c -> hasAddresses(c, advertised)));
        controls().forEach(ManagedProcess::kill);
        defineControls(peers, http);
        for (int i = 0; i < CONTROLS; i++) {
            controlRelays.put("control-" + (i + 1), new LinkRelay(advertised.get(i), peers.get(i)));
        }
    }

    private static boolean hasAddresses(ManagedProcess control, List<Integer> ports) {
        String log = Api.get(control.address(), "/v1/dump").path("log").toString();
        return ports.stream().allMatch(port -> log.contains(HOST + port));
    }

    private void define(
            String role, String name, int domain, String address, Map<String, String> settings) {
        Path data = folder.resolve(name + ".data");
        settings.put("failure-domain", DOMAINS.get(domain));
        if (!role.equals("proxy")) {
            settings.put("data-folder", data.toString());
        }
        List<String> arguments = new ArrayList<>(List.of(role));
        settings.forEach((key, value) -> arguments.addAll(List.of("--" + key, value)));
        Path log = folder.resolve(name + ".log");
        processes.put(name, new ManagedProcess(name, address, data, log, arguments));
    }

    private static String members(List<Integer> ports) {
        return IntStream.range(0, ports.size())
                .mapToObj(i -> "control-" + (i + 1) + "@" + HOST + ports.get(i))
                .collect(Collectors.joining(","));
    }

    ManagedProcess process(String name) {
        return processes.get(name);
    }

    List<ManagedProcess> all() {
        return List.copyOf(processes.values());
    }

    List<ManagedProcess> controls() {
        return all().stream().filter(p -> p.name().startsWith("control-")).toList();
    }

    List<ManagedProcess> proxies() {
        return all().stream().filter(p -> p.name().startsWith("proxy-")).toList();
    }

    List<ManagedProcess> endpoints() {
        return all().stream().filter(p -> p.name().startsWith(GROUP)).toList();
    }

    String proxy(int number) {
        return process("proxy-" + number).address();
    }

    List<String> proxyAddresses() {
        return proxies().stream().map(ManagedProcess::address).toList();
    }

    String controlAddresses() {
        return controls().stream().map(ManagedProcess::address).collect(Collectors.joining(","));
    }

    /** Returns the addresses at which control processes listen for other processes. */
    List<String> controlPeers() {
        return controlPeers.stream().map(port -> HOST + port).toList();
    }

    /** Cuts all links between the relayed proxy and the control processes. */
    void cutRelayedProxy(LinkRelay.Cut cut) {
        relays.forEach(relay -> relay.cut(cut));
    }

    /** Cuts all links between a control process and the other control processes, both ways. */
    void isolateControl(String name) {
        controlRelays.forEach(
                (target, relay) -> {
                    if (target.equals(name)) {
                        relay.cut(LinkRelay.Cut.BOTH);
                    } else {
                        relay.cutFrom(name);
                    }
                });
    }

    /** Ends the cuts between control processes. */
    void reconnectControls() {
        controlRelays.values().forEach(relay -> relay.cut(LinkRelay.Cut.NONE));
    }

    /** Returns the sum of an event's counts over the running proxies. */
    long events(String event) {
        return proxies().stream()
                .filter(ManagedProcess::alive)
                .flatMap(p -> Api.text(p.address(), "/metrics").lines())
                .filter(line -> line.startsWith("ragwortmoor_engine_events_total"))
                .filter(line -> line.contains("\"" + event + "\""))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                .sum();
    }

    /** Switches a fault of an endpoint. */
    void fault(String endpoint, FaultSwitch fault) {
        Option<String> problem = new StandinControl(process(endpoint).address()).apply(fault);
        if (problem.isDefined()) {
            throw new IllegalStateException(endpoint + ": " + problem.get());
        }
    }

    /** Returns the control processes that say that they lead and answer. */
    List<ManagedProcess> leaders() {
        return controls().stream()
                .filter(ManagedProcess::alive)
                .filter(c -> Api.get(c.address(), "/v1/status").path("leads").asBoolean())
                .toList();
    }

    /** Waits for a control leader and returns it. */
    ManagedProcess leader() {
        await("a control leader", () -> !leaders().isEmpty());
        List<ManagedProcess> leaders = leaders();
        return leaders.isEmpty() ? leader() : leaders.get(0);
    }

    JsonNode leaderStatus() {
        return Api.get(leader().address(), "/v1/status");
    }

    /** Waits until the control leader names a primary and returns it. */
    String primary() {
        await("a primary", () -> !primaryNow().isEmpty());
        return primaryNow();
    }

    /** Returns the primary according to the control leader, or an empty text. */
    String primaryNow() {
        List<ManagedProcess> leaders = leaders();
        if (leaders.isEmpty()) {
            return "";
        }
        JsonNode primary = Api.get(leaders.get(0).address(), "/v1/status").at("/groups/0/primary");
        return primary.isTextual() ? primary.asText() : "";
    }

    void awaitPrimaryOtherThan(String former) {
        await(
                "a primary other than " + former,
                () -> {
                    String now = primaryNow();
                    return !now.isEmpty() && !now.equals(former);
                });
    }

    /** Starts the endpoints that are down, ends all their faults and waits until they are equal. */
    void repairEndpoints() {
        for (ManagedProcess endpoint : endpoints()) {
            if (!endpoint.alive()) {
                endpoint.start();
            }
            StandinControl control = new StandinControl(endpoint.address());
            await(
                    endpoint.name() + " accepts switches",
                    () -> control.apply(new FaultSwitch.Clear()).isEmpty());
        }
        awaitServing();
        await("three caught-up endpoints", this::allCaughtUp);
    }

    private boolean allCaughtUp() {
        JsonNode endpoints = Api.get(proxy(1), "/v1/status").at("/groups/0/endpoints");
        String head = "";
        for (JsonNode endpoint : endpoints) {
            String last = endpoint.path("last").asText();
            if (endpoint.path("silentMillis").asLong() > 1_000
                    || endpoint.path("leaving").asBoolean()
                    || !(head.isEmpty() || head.equals(last))) {
                return false;
            }
            head = last;
        }
        return endpoints.size() == ENDPOINTS;
    }

    /** Waits until a strong read succeeds through each proxy. */
    void awaitServing() {
        for (String proxy : proxyAddresses()) {
            await("a strong read through " + proxy, () -> strongRead(proxy));
        }
    }

    private static boolean strongRead(String proxy) {
        String token = session(proxy, "probe");
        String body =
                "{'token':'%s','group':'%s','keys':['probe'],'level':'strong'}"
                        .formatted(token, GROUP);
        return Api.outcome(Api.post(proxy, "/v1/read", body)).equals("done");
    }

    static String session(String proxy, String principal) {
        return Api.post(proxy, "/v1/sessions", "{'principal':'" + principal + "'}")
                .path("token")
                .asText();
    }

    void await(String what, Supplier<Boolean> condition) {
        Eventually.await(what, LIMIT, condition, this::states);
    }

    /** Returns the states of all processes with an HTTP API. */
    String states() {
        return all().stream()
                .filter(ManagedProcess::alive)
                .filter(p -> !p.name().startsWith(GROUP))
                .map(p -> p.name() + ": " + Api.get(p.address(), "/v1/dump"))
                .collect(Collectors.joining("\n", "\n", "\n"));
    }

    /** Prints the logs of all processes. */
    void printLogs() {
        for (ManagedProcess process : all()) {
            System.err.println("---- log of " + process.name());
            System.err.println(process.logText());
        }
    }

    @Override
    public void close() {
        processes.values().forEach(ManagedProcess::close);
        relays.forEach(LinkRelay::close);
        controlRelays.values().forEach(LinkRelay::close);
    }
}
