package org.ragwortmoor.handback;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.cli.ApiResult;
import org.ragwortmoor.cli.Console;
import org.ragwortmoor.daemon.Caller;
import org.ragwortmoor.daemon.EmbeddedDeployment;
import org.ragwortmoor.daemon.Eventually;
import org.ragwortmoor.settings.Address;

/** Guards against lost, foreign and outdated records in an export, also after interruptions. */
class ExportTest {
    private static final Duration LIMIT = Duration.ofMinutes(2);
    private static final String GROUP = "fleet-colina";
    private static final String BASE =
            """
            scope fleet-colina c/ # requested by Court: order 12
            partner C fleet-colina c/ # requested by Court: order 12
            """;
    private static final String READER =
            "allow read session=hand-back-export partner=C # requested by Soto: export\n";
    private static final String WRITER =
            "allow read,write session=desk-* partner=C # requested by Soto: daily service\n";

    @TempDir Path folder;

    /** Interrupts an export between two pages, as a crash would. */
    private static final class Interruption extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    @Test
    void exportHoldsEveryAcknowledgedWriteDespiteInterruptionAndLossOfThePrimary()
            throws Exception {
        EmbeddedDeployment.Shape shape =
                EmbeddedDeployment.Shape.carritos().withSizes(List.of(GROUP), 3, 2);
        try (EmbeddedDeployment deployment =
                EmbeddedDeployment.start(shape, folder.resolve("control"))) {
            List<String> proxies = deployment.proxyAddresses();
            awaitWritable(proxies);
            try (RecordingWriter partner = new RecordingWriter(proxies, GROUP, "desk-1", "c/");
                    RecordingWriter other = new RecordingWriter(proxies, GROUP, "desk-2", "d/")) {
                Eventually.await(
                        "acknowledged writes",
                        LIMIT,
                        () -> partner.acknowledged().size() >= 60,
                        () -> partner.acknowledged().size());
                apply(deployment, BASE, 0);
                partner.awaitRefusal(LIMIT);

                Path out = folder.resolve("export");
                assertThatThrownBy(() -> export(deployment, out, false, () -> {}))
                        .hasMessageContaining("allow read session=hand-back-export partner=C");
                apply(deployment, BASE + READER + WRITER, 1);
                assertThatThrownBy(() -> export(deployment, out, false, () -> {}))
                        .hasMessageContaining("line 4")
                        .hasMessageContaining("--allow-concurrent-writes");
                apply(deployment, BASE + READER, 2);
                AtomicInteger pages = new AtomicInteger();
                assertThatThrownBy(() -> export(deployment, out, false, () -> stopAt(pages, 4)))
                        .isInstanceOf(Interruption.class);
                Path records = out.resolve("records-0001.jsonl");
                // Longer than all later pages, so that overwriting it does not hide it.
                String unsynced = "{\"key\":\"c/un".repeat(2_000);
                Files.writeString(records, unsynced, StandardOpenOption.APPEND);

                PrefixState interrupted = state(out);
                assertThat(interrupted.count()).isEqualTo(21);
                AtomicInteger resumed = new AtomicInteger();
                AtomicInteger dailyWrites = new AtomicInteger();
                List<PrefixState> first = new ArrayList<>();
                JsonNode manifest =
                        export(
                                deployment,
                                out,
                                false,
                                () -> {
                                    if (resumed.incrementAndGet() == 1) {
                                        first.add(state(out));
                                        // Two exports would mix their pages in one file.
                                        assertThatThrownBy(
                                                        () ->
                                                                export(
                                                                        deployment,
                                                                        out,
                                                                        false,
                                                                        () -> {}))
                                                .hasMessageContaining("another export");
                                    } else if (resumed.get() == 2) {
                                        deployment.killEndpoint(primary(deployment));
                                        dailyWrites.set(other.writes());
                                    }
                                });
                assertThat(dailyWrites.get()).as("writes before the loss").isPositive();
                assertThat(first.get(0).count()).as("continues at the next page").isEqualTo(28);
                assertThat(first.get(0).barrier()).isEqualTo(interrupted.barrier());
                partner.check(records(records));
                assertThat(ExportCheck.problems(out)).isEmpty();
                assertThat(manifest.path("files").path(0).path("confirmed").asBoolean()).isTrue();
                assertThat(manifest.path("files").path(0).path("requester").asText())
                        .isEqualTo("Court: order 12");
                Eventually.await(
                        "daily writes to other records",
                        LIMIT,
                        () -> other.writes() > dailyWrites.get(),
                        () -> other.writes());
            }
        }
    }

    private static void stopAt(AtomicInteger pages, int last) {
        if (pages.incrementAndGet() == last) {
            throw new Interruption();
        }
    }

    private static JsonNode export(
            EmbeddedDeployment deployment, Path out, boolean concurrent, Runnable afterPage)
            throws Exception {
        Export.Plan plan =
                new Export.Plan("C", out, "hand-back-export", 7, concurrent, LIMIT, LIMIT);
        return new Export(
                        plan,
                        client(deployment.proxyAddresses()),
                        client(deployment.controlAddresses()),
                        afterPage)
                .run();
    }

    private static PrefixState state(Path out) {
        try {
            return ExportFiles.JSON
                    .readValue(out.resolve(ExportState.FILE).toFile(), ExportState.class)
                    .prefixes()
                    .get(0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, String> records(Path file) throws Exception {
        Map<String, String> records = new TreeMap<>();
        for (String line : Files.readAllLines(file)) {
            JsonNode found = ExportFiles.JSON.readTree(line);
            records.put(found.path("key").asText(), found.path("value").asText());
        }
        return records;
    }

    private static void apply(EmbeddedDeployment deployment, String text, long expected) {
        ObjectNode body =
                Console.object()
                        .put("text", text)
                        .put("expectVersion", expected)
                        .put("operationId", "apply-" + expected)
                        .put("operator", "test");
        List<ApiResult> last = new ArrayList<>();
        Eventually.await(
                "version " + (expected + 1),
                LIMIT,
                () -> {
                    last.add(client(deployment.controlAddresses()).post("/v1/rules", body));
                    return Set.of("done", "pending")
                            .contains(last.get(last.size() - 1).body().path("outcome").asText());
                },
                () -> last);
    }

    private static String primary(EmbeddedDeployment deployment) {
        List<String> found = new ArrayList<>();
        Eventually.await(
                "a control leader that names the primary",
                LIMIT,
                () -> {
                    deployment.controlAddresses().stream()
                            .map(a -> Caller.get(a, "/v1/status"))
                            .filter(s -> s.path("leads").asBoolean())
                            .map(s -> s.path("groups").path(0).path("primary").asText())
                            .filter(p -> !p.isEmpty())
                            .forEach(found::add);
                    return !found.isEmpty();
                },
                () -> found);
        return found.get(0);
    }

    private static void awaitWritable(List<String> proxies) {
        for (String proxy : proxies) {
            Eventually.await(
                    "a strong read",
                    LIMIT,
                    () ->
                            Caller.post(
                                            proxy,
                                            "/v1/read",
                                            ("{'token':'%s','group':'%s',"
                                                            + "'keys':['k'],'level':'strong'}")
                                                    .formatted(
                                                            Caller.session(proxy, "probe"), GROUP))
                                    .path("outcome")
                                    .asText()
                                    .equals("done"),
                    () -> Caller.get(proxy, "/v1/status"));
        }
    }

    private static ApiClient client(List<String> addresses) {
        return new ApiClient(
                addresses.stream().map(a -> Address.parse(a).get()).toList(),
                Duration.ofSeconds(15));
    }
}
