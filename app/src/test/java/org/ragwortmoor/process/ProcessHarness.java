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
 * own on loopback. The second proxy reaches the control processes through relays.
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
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final List<LinkRelay> relays = new ArrayList<>();

    private ProcessHarness(Path folder) {
        this.folder = folder;
    }

    /** Starts a deployment and waits until both proxies serve. */
    static ProcessHarness start(Path folder) {
        ProcessHarness harness = new ProcessHarness(folder);
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
        List<Integer> ports = LoopbackPorts.find(3 * CONTROLS + ENDPOINTS + PROXIES);
        List<Integer> peers = ports.subList(0, CONTROLS);
        List<Integer> relayed = ports.subList(CONTROLS, 2 * CONTROLS);
        List<Integer> http = ports.subList(2 * CONTROLS, 3 * CONTROLS);
        int next = 3 * CONTROLS;
        String members = members(peers);
        for (int i = 0; i < CONTROLS; i++) {
            relays.add(new LinkRelay(relayed.get(i), peers.get(i)));
            Map<String, String> settings = new LinkedHashMap<>();
            settings.put("node-id", "control-" + (i + 1));
            settings.put("peer-address", HOST + peers.get(i));
            settings.put("http-address", HOST + http.get(i));
            settings.put("members", members);
            settings.put("snapshot-entries", Integer.toString(SNAPSHOT_ENTRIES));
            define("control", "control-" + (i + 1), i, HOST + http.get(i), settings);
        }
        for (int i = 0; i < ENDPOINTS; i++) {
            String address = HOST + ports.get(next++);
            Map<String, String> settings = new LinkedHashMap<>();
            settings.put("name", GROUP + "-" + (i + 1));
            settings.put("group", GROUP);
            settings.put("address", address);
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

    /** Cuts all links between the relayed proxy and the control processes. */
    void cutRelayedProxy(LinkRelay.Cut cut) {
        relays.forEach(relay -> relay.cut(cut));
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
    }
}
