package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the path from the command line over separate processes to a caller and back. */
class SeparateProcessesTest extends ProcessTestCase {
    private static final String RULES =
            """
            scope fleet-colina partner/ # requested by Court: order 12/3
            partner Carritos fleet-colina partner/ # requested by Court: order 12/3
            allow read,write session=dispatch* partner=Carritos # requested by A. Soto: service
            """;

    @Test
    void sessionReadsItsWriteThroughTheOtherProxy() {
        String token = ProcessHarness.session(harness.proxy(1), "desk-1");
        JsonNode written = put(harness.proxy(1), token, "cart/1", "booked");
        assertThat(Api.outcome(written)).as("%s", written).isEqualTo("done");
        JsonNode read = read(harness.proxy(2), written.path("token").asText(), "cart/1");
        assertThat(value(read)).isEqualTo("booked");
    }

    @Test
    void appliedRuleFileIsInForceOnBothProxies() throws Exception {
        Path file = Files.writeString(folder.resolve("rules.txt"), RULES);
        Run run =
                run(
                        "rules",
                        "apply",
                        file.toString(),
                        "--expect-version",
                        Long.toString(rulesVersion()),
                        "--operator",
                        "A. Soto",
                        "--addresses",
                        harness.controlAddresses());
        assertThat(run.code()).as(run.text()).isZero();
        JsonNode history = Api.get(harness.leader().address(), "/v1/rules/history");
        assertThat(history.at("/body/0/operator").asText()).isEqualTo("A. Soto");
        for (String proxy : harness.proxyAddresses()) {
            String stranger = ProcessHarness.session(proxy, "stranger");
            JsonNode refused = read(proxy, stranger, "partner/1");
            assertThat(Api.errorKind(refused)).as("%s", refused).isEqualTo("FORBIDDEN");
            assertThat(refused.at("/error/message").asText()).contains("Court");
            String admitted = ProcessHarness.session(proxy, "dispatch-1");
            assertThat(Api.outcome(read(proxy, admitted, "partner/1"))).isEqualTo("done");
        }
    }

    @Test
    void everyWrongSettingIsReportedWithExitCode2() throws Exception {
        Run run =
                run(
                        "proxy",
                        "--name",
                        "two words",
                        "--failure-domain",
                        "colina",
                        "--http-address",
                        "localhost:80",
                        "--workers",
                        "0");
        assertThat(run.code()).as(run.text()).isEqualTo(2);
        assertThat(run.text()).contains("name", "http-address", "control-addresses", "workers");
    }

    private record Run(int code, String text) {}

    /** Runs a command in a process of its own. */
    private static Run run(String... arguments) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(ManagedProcess.command(List.of(arguments)))
                        .redirectErrorStream(true)
                        .start();
        try (var output = process.getInputStream()) {
            String text = new String(output.readAllBytes(), StandardCharsets.UTF_8);
            return new Run(process.waitFor(), text);
        } finally {
            process.destroyForcibly();
        }
    }
}
