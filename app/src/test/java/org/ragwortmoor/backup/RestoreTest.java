package org.ragwortmoor.backup;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.kohsuke.args4j.CmdLineException;
import org.ragwortmoor.cli.CommandEntry;
import org.ragwortmoor.cli.Commands;
import org.ragwortmoor.cli.Console;
import org.ragwortmoor.cli.ExitCode;
import org.ragwortmoor.daemon.Caller;
import org.ragwortmoor.daemon.EmbeddedDeployment;
import org.ragwortmoor.daemon.Eventually;

/** Guards against records, rules or terms lost when a control group starts from a backup. */
class RestoreTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final String GROUP = "fleet-colina";
    private static final String RULES =
            "scope fleet-colina c/ # requested by Court: order 12\n"
                    + "partner C fleet-colina c/ # requested by Court: order 12\n";
    private static final String ADMITTED =
            RULES + "allow read session=clerk partner=C # requested by Soto: export\n";

    @TempDir Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void aNewGroupServesTheRecordsAndHoldsScopedOnesBackUntilTheRulesAreApplied() throws Exception {
        EmbeddedDeployment.Shape shape =
                EmbeddedDeployment.Shape.carritos().withSizes(List.of(GROUP), 3, 2);
        try (EmbeddedDeployment deployment =
                EmbeddedDeployment.start(shape, folder.resolve("control"))) {
            String proxy = deployment.proxyAddresses().get(0);
            awaitDone("the first write", () -> write(proxy, "d/1", "before"));
            assertThat(apply(deployment, ADMITTED, 0).path("outcome").asText()).isEqualTo("done");

            Path file = folder.resolve("control.backup");
            String controls = String.join(",", deployment.controlAddresses());
            assertThat(run("backup", file.toString(), "--addresses", controls, "--timeout", "9000"))
                    .as("%s", err)
                    .isEqualTo(ExitCode.OK);
            // Accepted after the backup: the partner's reader is withdrawn.
            assertThat(apply(deployment, RULES, 1).path("outcome").asText()).isEqualTo("done");
            assertThat(write(proxy, "d/2", "after").path("outcome").asText()).isEqualTo("done");
            long lostTerm = group(deployment).path("term").asLong();

            restart(deployment, file);
            Eventually.await(
                    "a primary of a higher term",
                    LIMIT,
                    () -> group(deployment).path("term").asLong() > lostTerm,
                    () -> group(deployment));
            awaitDone("a write of another record", () -> write(proxy, "d/3", "restored"));
            assertThat(value(proxy, "desk-1", "d/1")).isEqualTo("before");
            assertThat(value(proxy, "desk-1", "d/2")).as("in no backup").isEqualTo("after");

            JsonNode rules = rules(deployment);
            long version = rules.path("body").path("version").asLong();
            assertThat(rules.path("body").path("awaitsConfirmation").asBoolean()).isTrue();
            assertThat(rules.path("body").path("text").asText()).isEqualTo(ADMITTED);
            assertThat(read(proxy, "clerk", "c/1").path("outcome").asText())
                    .as("the withdrawn reader")
                    .isEqualTo("not-run");
            // A proxy that restarted knows no rules, and must not get those of the backup.
            deployment.killProxy("proxy-2");
            deployment.startProxy("proxy-2");
            String restarted = "127.0.0.1:" + deployment.proxies().get("proxy-2").httpPort();
            assertThat(read(restarted, "clerk", "c/1").path("outcome").asText())
                    .isEqualTo("not-run");

            assertThat(apply(deployment, RULES, 1).path("kind").asText()).isEqualTo("CONFLICT");
            awaitDone("the newest rules", () -> apply(deployment, RULES, version));
            awaitDone("a write", () -> write(restarted, "d/4", "confirmed"));
            assertThat(read(restarted, "clerk", "c/1").path("error").path("kind").asText())
                    .isEqualTo("FORBIDDEN");
        }
    }

    /** Loses all folders and starts the restored ones on the old addresses. */
    private void restart(EmbeddedDeployment deployment, Path file) throws Exception {
        Map<String, String> members = deployment.members();
        String nodes =
                members.entrySet().stream()
                        .map(e -> e.getKey() + "@" + e.getValue())
                        .collect(Collectors.joining(","));
        members.keySet().forEach(deployment::killControl);
        Path output = folder.resolve("restored");
        assertThat(run("restore", file.toString(), "--members", nodes, "--output", output + ""))
                .as("%s", err)
                .isEqualTo(ExitCode.OK);
        for (String node : members.keySet()) {
            Path data = deployment.dataFolder(node);
            Files.move(data, folder.resolve("lost-" + node));
            Files.move(output.resolve(node), data, StandardCopyOption.ATOMIC_MOVE);
            deployment.startControl(node);
        }
    }

    private ExitCode run(String name, String... arguments) throws CmdLineException {
        out.reset();
        err.reset();
        var command =
                Commands.ALL.stream()
                        .filter(e -> e.name().equals(name))
                        .map(CommandEntry::create)
                        .findFirst()
                        .get()
                        .get();
        command.accept(List.of(arguments));
        return command.run(
                new Console(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        Map.of()));
    }

    private interface Request {
        JsonNode send();
    }

    private static void awaitDone(String what, Request request) {
        JsonNode[] last = new JsonNode[1];
        Eventually.await(
                what,
                LIMIT,
                () -> {
                    last[0] = request.send();
                    return last[0].path("outcome").asText().equals("done");
                },
                () -> last[0]);
    }

    private static JsonNode leader(EmbeddedDeployment deployment, String path) {
        JsonNode[] found = new JsonNode[1];
        Eventually.await(
                "a control leader",
                LIMIT,
                () -> {
                    for (String address : deployment.controlAddresses()) {
                        if (Caller.get(address, "/v1/status").path("leads").asBoolean()) {
                            found[0] = Caller.get(address, path);
                            return true;
                        }
                    }
                    return false;
                },
                deployment::controlAddresses);
        return found[0];
    }

    private static JsonNode group(EmbeddedDeployment deployment) {
        return leader(deployment, "/v1/status").path("groups").path(0);
    }

    private static JsonNode rules(EmbeddedDeployment deployment) {
        return leader(deployment, "/v1/rules");
    }

    private static JsonNode apply(EmbeddedDeployment deployment, String text, long expected) {
        String body =
                new ObjectMapper()
                        .createObjectNode()
                        .put("text", text)
                        .put("expectVersion", expected)
                        .put("operator", "test")
                        .put("operationId", text.length() + "-" + expected)
                        .toString();
        JsonNode last = new ObjectMapper().createObjectNode();
        for (String address : deployment.controlAddresses()) {
            last = Caller.post(address, "/v1/rules", body);
            if (!last.path("outcome").asText().equals("not-leader")) {
                return last;
            }
        }
        return last;
    }

    private static JsonNode write(String proxy, String key, String value) {
        String body =
                "{'token':'%s','group':'%s','operations':[{'op':'put','key':'%s','value':'%s'}]}"
                        .formatted(Caller.session(proxy, "desk-1"), GROUP, key, value);
        return Caller.post(proxy, "/v1/write", body);
    }

    private static JsonNode read(String proxy, String principal, String key) {
        String body =
                "{'token':'%s','group':'%s','keys':['%s'],'level':'strong'}"
                        .formatted(Caller.session(proxy, principal), GROUP, key);
        return Caller.post(proxy, "/v1/read", body);
    }

    private static String value(String proxy, String principal, String key) {
        JsonNode answer = read(proxy, principal, key);
        return answer.path("records").path(0).path("value").asText();
    }
}
