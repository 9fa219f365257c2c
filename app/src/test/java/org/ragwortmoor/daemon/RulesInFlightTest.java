package org.ragwortmoor.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards what becomes of requests and transactions in flight when the rules change. */
class RulesInFlightTest {
    private static final String GROUP = "fleet-colina";
    private static final String SCOPE = "scope fleet-colina c/ # requested by A. Rojas: order 7\n";
    private static final String PARTNER =
            "partner CLUB fleet-colina c/ # requested by A. Rojas: order 7\n";

    /** Promise 9: the target for a version to be in force on every proxy. */
    private static final long IN_FORCE_NANOS = TimeUnit.SECONDS.toNanos(3);

    @TempDir static Path folder;
    private static EmbeddedDeployment deployment;
    private static String proxy;

    @BeforeAll
    static void start() throws Exception {
        EmbeddedDeployment.Shape shape =
                EmbeddedDeployment.Shape.carritos().withSizes(List.of(GROUP), 3, 2);
        deployment = EmbeddedDeployment.start(shape, folder);
        EmbeddedDeploymentTest.awaitReady(deployment.proxyAddresses());
        proxy = deployment.proxyAddresses().get(0);
    }

    @AfterAll
    static void stop() {
        deployment.close();
    }

    private static void apply(String text) {
        long expected = Caller.get(leader(), "/v1/rules").at("/body/version").asLong();
        String body =
                "{'operationId':'apply-%d','operator':'ana','expectVersion':%d,'text':'%s'}"
                        .formatted(expected, expected, text.replace("\n", "\\n"));
        JsonNode answer = Caller.post(leader(), "/v1/rules", body);
        assertThat(answer.path("message").asText()).as("%s", answer).contains("is in force");
    }

    private static String leader() {
        return deployment.controlAddresses().stream()
                .filter(a -> Caller.get(a, "/v1/status").path("leads").asBoolean())
                .findFirst()
                .orElseThrow();
    }

    private static JsonNode post(String path, String fields, Object... values) {
        String token = Caller.session(proxy, "desk-1");
        return Caller.post(
                proxy,
                path,
                "{'token':'%s','group':'%s',".formatted(token, GROUP)
                        + fields.formatted(values)
                        + "}");
    }

    /** A commit that was refused once was decided on without its operations the second time. */
    @Test
    void aTransactionThatTheNewRulesForbidIsNotCommittedByASecondAttempt() {
        apply(SCOPE);
        String token = Caller.session(proxy, "desk-1");
        String session = "{'token':'%s','group':'%s'".formatted(token, GROUP);
        String transaction =
                Caller.post(proxy, "/v1/transactions", session + "}").path("transaction").asText();
        String open = session + ",'transaction':'" + transaction + "'";
        JsonNode statement =
                Caller.post(
                        proxy,
                        "/v1/transactions/execute",
                        open + ",'operations':[{'op':'put','key':'c/1','value':'late'}]}");
        assertThat(statement.path("outcome").asText()).as("%s", statement).isEqualTo("done");
        apply(SCOPE + PARTNER);
        for (int attempt = 0; attempt < 2; attempt++) {
            JsonNode commit = Caller.post(proxy, "/v1/transactions/commit", open + "}");
            assertThat(commit.path("outcome").asText()).as("%s", commit).isEqualTo("not-run");
        }
        apply(SCOPE);
        JsonNode read = post("/v1/read", "'keys':['c/1'],'level':'strong'");
        assertThat(read.at("/records/0/value").isTextual()).as("%s", read).isFalse();
    }

    /** A read of 20 s held every version back until it ended. */
    @Test
    void aLongReadThatTheNewRulesAllowDoesNotDelayThem() throws Exception {
        apply(SCOPE);
        CompletableFuture<JsonNode> read =
                CompletableFuture.supplyAsync(
                        () ->
                                post(
                                        "/v1/read",
                                        "'keys':['x/1'],'level':'strong','deadlineMillis':20000,"
                                                + "'serviceMicros':8000000"));
        CompletableFuture<JsonNode> forbidden =
                CompletableFuture.supplyAsync(
                        () ->
                                post(
                                        "/v1/read",
                                        "'keys':['c/1'],'level':'session','deadlineMillis':20000,"
                                                + "'serviceMicros':8000000"));
        TimeUnit.MILLISECONDS.sleep(500);
        long start = System.nanoTime();
        apply(SCOPE + PARTNER);
        assertThat(System.nanoTime() - start).isLessThan(IN_FORCE_NANOS);
        assertThat(forbidden.get().at("/error/kind").asText()).isEqualTo("FORBIDDEN");
        assertThat(read.get().path("outcome").asText()).isEqualTo("done");
    }
}
