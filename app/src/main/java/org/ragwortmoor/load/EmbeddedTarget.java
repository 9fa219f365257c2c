package org.ragwortmoor.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.daemon.EmbeddedDeployment;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.standin.FaultSwitch;
import org.ragwortmoor.standin.FaultSwitch.Direction;

/** A deployment in the process of the load tool. Confined to one thread, but for its addresses. */
public final class EmbeddedTarget implements LoadTarget {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long READY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final String PRIMARY_OF = "primary-of-";
    private static final String REPLICA_OF = "replica-of-";

    /** Half of an endpoint's 30 connections. */
    private static final int SILENT_CONNECTIONS = 15;

    private final EmbeddedDeployment deployment;
    private final Path folder;
    private final List<String> groups;
    private final List<Address> proxies;
    private final Map<FaultPlan, String> resolved = new HashMap<>();

    private EmbeddedTarget(EmbeddedDeployment deployment, Path folder, List<String> groups) {
        this.deployment = deployment;
        this.folder = folder;
        this.groups = List.copyOf(groups);
        this.proxies = addresses(deployment.proxyAddresses());
    }

    /**
     * Starts a deployment and waits until every proxy serves every group.
     *
     * @param groups groups that the deployment has; empty for all of the shape
     * @throws IOException if a port is taken or no folder can be made
     */
    public static EmbeddedTarget start(LoadSettings.Target wanted, List<String> groups)
            throws IOException {
        EmbeddedDeployment.Shape shape = wanted.deployment().shape();
        List<String> used = groups.isEmpty() ? shape.groups() : groups;
        shape = shape.withSizes(used, shape.controls(), wanted.proxyCount());
        shape =
                new EmbeddedDeployment.Shape(
                        shape.failureDomains(),
                        shape.groups(),
                        shape.controls(),
                        shape.proxies(),
                        shape.slots(),
                        shape.delays(),
                        shape.engine()
                                .withReplicaReads(wanted.replicaReads())
                                .withWorkClasses(wanted.classes()),
                        shape.seed());
        Path folder = Files.createTempDirectory("ragwortmoor-load");
        EmbeddedTarget target =
                new EmbeddedTarget(EmbeddedDeployment.start(shape, folder), folder, used);
        target.awaitReady();
        return target;
    }

    private static List<Address> addresses(List<String> texts) {
        return texts.stream().map(text -> Address.parse(text).get()).toList();
    }

    private void awaitReady() {
        long deadline = System.nanoTime() + READY_NANOS;
        for (Address proxy : proxies) {
            ApiClient client = new ApiClient(List.of(proxy), TIMEOUT);
            for (String group : groups) {
                while (!writes(client, group)) {
                    if (System.nanoTime() > deadline) {
                        close();
                        throw new IllegalStateException(
                                "the deployment was not ready within 60 s; use a less busy"
                                        + " machine");
                    }
                    sleep(50);
                }
            }
        }
    }

    private static boolean writes(ApiClient client, String group) {
        ObjectNode open = JSON.createObjectNode().put("principal", "load-probe");
        String token = client.post("/v1/sessions", open).body().path("token").asText();
        if (token.isEmpty()) {
            return false;
        }
        ObjectNode write = JSON.createObjectNode().put("token", token).put("group", group);
        write.putArray("operations")
                .addObject()
                .put("op", "put")
                .put("key", "probe")
                .put("value", "1");
        return client.postOnce("/v1/write", write).done();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public List<Address> proxies() {
        return proxies;
    }

    @Override
    public List<String> groups() {
        return groups;
    }

    @Override
    public String apply(FaultPlan fault) {
        String target = resolve(fault.target());
        if (target.isEmpty()) {
            return fault.kind() + " skipped: nothing runs under the name " + fault.target();
        }
        resolved.put(fault, target);
        if (fault.kind() == FaultPlan.Kind.KILL) {
            if (deployment.proxies().containsKey(target)) {
                deployment.killProxy(target);
            } else {
                deployment.killEndpoint(target);
            }
        } else {
            deployment.endpoint(target).apply(fault(fault.kind(), true)).join();
        }
        return fault.kind() + " of " + target;
    }

    @Override
    public void clear(FaultPlan fault) {
        String target = resolved.get(fault);
        boolean running = target != null && deployment.runningEndpoints().contains(target);
        if (running && fault.kind() != FaultPlan.Kind.KILL) {
            deployment.endpoint(target).apply(fault(fault.kind(), false)).join();
        }
    }

    private static FaultSwitch fault(FaultPlan.Kind kind, boolean on) {
        return switch (kind) {
            case FREEZE -> new FaultSwitch.SilenceAll(on);
            case LEAVING -> new FaultSwitch.Leaving(on);
            case CUT -> new FaultSwitch.CutOff(on ? List.of("*") : List.of(), Direction.BOTH);
            case SILENT -> new FaultSwitch.SilenceConnections("", on ? SILENT_CONNECTIONS : 0);
            case KILL -> throw new IllegalStateException("a kill is no switch");
        };
    }

    private String resolve(String target) {
        if (target.startsWith(PRIMARY_OF)) {
            return primary(target.substring(PRIMARY_OF.length())).getOrElse("");
        }
        if (target.startsWith(REPLICA_OF)) {
            String group = target.substring(REPLICA_OF.length());
            String primary = primary(group).getOrElse("");
            return deployment.runningEndpoints().stream()
                    .filter(e -> e.startsWith(group + "-") && !e.equals(primary))
                    .findFirst()
                    .orElse("");
        }
        boolean runs =
                deployment.runningEndpoints().contains(target)
                        || deployment.proxies().containsKey(target);
        return runs ? target : "";
    }

    /** Returns the primary of a group as the control leader knows it. */
    Option<String> primary(String group) {
        for (Address control : addresses(deployment.controlAddresses())) {
            JsonNode status = new ApiClient(List.of(control), TIMEOUT).get("/v1/status").body();
            if (status.path("leads").asBoolean()) {
                for (JsonNode found : status.path("groups")) {
                    if (found.path("group").asText().equals(group)) {
                        return Option.of(found.path("primary").asText());
                    }
                }
            }
        }
        return Option.none();
    }

    @Override
    public void close() {
        deployment.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot remove " + folder + "; remove it by hand", e);
        }
    }
}
