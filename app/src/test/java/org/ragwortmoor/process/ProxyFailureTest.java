package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against half-applied, doubled or cut work when a proxy dies or stops. */
class ProxyFailureTest extends ProcessTestCase {
    private static final int CALLERS = 4;
    private static final int SOME_WRITES = 40;

    /** Long enough that the write is in flight when the proxy is killed or stopped. */
    private static final long SERVICE_MICROS = 3_000_000;

    @AfterEach
    void repair() {
        for (ManagedProcess proxy : harness.proxies()) {
            if (!proxy.alive()) {
                proxy.start();
            }
        }
        harness.awaitServing();
    }

    private static JsonNode longWrite(String proxy, String token, String key, String record) {
        String body =
                ("{'token':'%s','group':'%s','key':'%s','serviceMicros':%d,'deadlineMillis':30000,"
                                + "'operations':[{'op':'increment','key':'%s','delta':1}]}")
                        .formatted(token, GROUP, key, SERVICE_MICROS, record);
        return Api.post(proxy, "/v1/write", body);
    }

    private long requestsInFlight(String proxy) {
        return Api.get(proxy, "/v1/status").path("requestsInFlight").asLong();
    }

    private static String strongRead(String proxy, String token, String key) {
        String body =
                ("{'token':'%s','group':'%s','keys':['%s'],'level':'strong',"
                                + "'deadlineMillis':30000}")
                        .formatted(token, GROUP, key);
        return value(Api.post(proxy, "/v1/read", body));
    }

    @Test
    void proxyKilledInsideATransactionAppliesNothingOfIt() {
        String first = harness.proxy(1);
        String second = harness.proxy(2);
        Transaction open = Transaction.begin(first, "killed");
        open.increment("killed/in-transaction");
        CompletableFuture<JsonNode> inFlight =
                CompletableFuture.supplyAsync(
                        () -> longWrite(first, open.token(), "killed-write", "killed/write"));
        harness.await("a write in flight", () -> requestsInFlight(first) > 0);
        try (CallerLoad load =
                CallerLoad.start("proxy-killed", harness.proxyAddresses(), CALLERS)) {
            load.awaitProgress(harness, SOME_WRITES);
            harness.process("proxy-1").kill();
            assertThat(Api.outcome(inFlight.join())).as("answer of a killed proxy").isEmpty();

            JsonNode[] outcome = new JsonNode[1];
            harness.await(
                    "the outcome of the write in flight",
                    () -> {
                        outcome[0] =
                                Api.post(
                                        second,
                                        "/v1/outcome",
                                        "{'token':'%s','group':'%s','key':'killed-write'}"
                                                .formatted(open.token(), GROUP));
                        return Api.outcome(outcome[0]).equals("done")
                                || Api.errorKind(outcome[0]).equals("CANCELLED");
                    });
            String expected = Api.outcome(outcome[0]).equals("done") ? "1" : "";
            assertThat(strongRead(second, open.token(), "killed/write")).isEqualTo(expected);
            assertThat(strongRead(second, open.token(), "killed/in-transaction")).isEmpty();

            // A session that starts anew can change the same record: nothing stays locked.
            String token = ProcessHarness.session(second, "after");
            JsonNode written = put(second, token, "killed/in-transaction", "7");
            assertThat(Api.outcome(written)).as("%s", written).isEqualTo("done");
            harness.process("proxy-1").start();
            harness.awaitServing();
            load.awaitProgress(harness, SOME_WRITES);
            load.finish();
            assertThat(strongRead(second, token, "killed/in-transaction")).isEqualTo("7");
            assertThat(strongRead(second, token, "killed/write")).isEqualTo(expected);
        }
    }

    @Test
    void plannedStopOfAProxyCutsNoRequestAndNoTransaction() {
        String first = harness.proxy(1);
        Transaction open = Transaction.begin(first, "stopped");
        open.increment("stopped/in-transaction");
        CompletableFuture<JsonNode> inFlight =
                CompletableFuture.supplyAsync(
                        () -> longWrite(first, open.token(), "stop-write", "stopped/write"));
        harness.await("a write in flight", () -> requestsInFlight(first) > 0);
        try (CallerLoad load =
                CallerLoad.balanced("proxy-stopped", harness.proxyAddresses(), CALLERS)) {
            harness.process("proxy-1").beginStop();
            harness.await(
                    "refusal of new sessions",
                    () ->
                            Api.errorKind(Api.post(first, "/v1/sessions", "{'principal':'late'}"))
                                    .equals("STOPPING"));
            JsonNode committed = open.commit("stop-transaction");
            assertThat(Api.outcome(committed)).as("%s", committed).isEqualTo("done");
            JsonNode written = inFlight.join();
            assertThat(Api.outcome(written)).as("%s", written).isEqualTo("done");
            harness.process("proxy-1").awaitEnd();
            load.awaitProgress(harness, SOME_WRITES);
            load.finish(List.of(harness.proxy(2)));
            assertThat(load.uncertain()).as("requests without definite outcome").isEmpty();
            String token = ProcessHarness.session(harness.proxy(2), "after");
            assertThat(strongRead(harness.proxy(2), token, "stopped/in-transaction"))
                    .isEqualTo("1");
        }
    }
}
