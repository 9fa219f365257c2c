package org.ragwortmoor.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the whole path from caller to endpoint and back, over all transports. */
class EmbeddedDeploymentTest {
    private static final Duration START = Duration.ofSeconds(30);
    private static final String GROUP = "fleet-colina";

    @TempDir Path folder;

    @Test
    void sessionReadsItsWriteThroughAnotherProxyAlsoAfterTheLossOfThePrimary() throws Exception {
        EmbeddedDeployment.Shape shape =
                EmbeddedDeployment.Shape.carritos().withSizes(List.of(GROUP), 3, 2);
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape, folder)) {
            List<String> proxies = deployment.proxyAddresses();
            awaitReady(proxies);
            String token = Caller.session(proxies.get(0), "desk-1");
            JsonNode written = write(proxies.get(0), token, "cart/1", "booked");
            assertThat(written.path("outcome").asText()).as("%s", written).isEqualTo("done");
            JsonNode read = read(proxies.get(1), written.path("token").asText(), "cart/1");
            assertThat(read.path("records").path(0).path("value").asText())
                    .as("%s", read)
                    .isEqualTo("booked");

            String primary = primary(deployment);
            deployment.killEndpoint(primary);
            JsonNode after =
                    write(proxies.get(1), read.path("token").asText(), "cart/2", "booked too");
            assertThat(after.path("outcome").asText()).as("%s", after).isEqualTo("done");
            assertThat(primary(deployment)).isNotEqualTo(primary);
            JsonNode both = read(proxies.get(0), after.path("token").asText(), "cart/1");
            assertThat(both.path("records").path(0).path("value").asText())
                    .as("%s", both)
                    .isEqualTo("booked");
        }
    }

    private static String primary(EmbeddedDeployment deployment) {
        for (String address : deployment.controlAddresses()) {
            JsonNode status = Caller.get(address, "/v1/status");
            if (status.path("leads").asBoolean()) {
                return status.path("groups").path(0).path("primary").asText();
            }
        }
        return "";
    }

    static void awaitReady(List<String> proxies) {
        for (String proxy : proxies) {
            Eventually.await(
                    "a strong read",
                    START,
                    () -> {
                        String token = Caller.session(proxy, "probe");
                        String body =
                                "{'token':'%s','group':'%s','keys':['k'],'level':'strong'}"
                                        .formatted(token, GROUP);
                        JsonNode read = Caller.post(proxy, "/v1/read", body);
                        return read.path("outcome").asText().equals("done");
                    },
                    () -> Caller.get(proxy, "/v1/status"));
        }
    }

    private static JsonNode write(String proxy, String token, String key, String value) {
        String body =
                "{'token':'%s','group':'%s','operations':[{'op':'put','key':'%s','value':'%s'}]}"
                        .formatted(token, GROUP, key, value);
        return Caller.post(proxy, "/v1/write", body);
    }

    private static JsonNode read(String proxy, String token, String key) {
        String body = "{'token':'%s','group':'%s','keys':['%s']}".formatted(token, GROUP, key);
        return Caller.post(proxy, "/v1/read", body);
    }
}
