package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;

/** A transaction of a caller through one proxy. */
final class Transaction {
    private static final String GROUP = ProcessHarness.GROUP;

    private final String proxy;
    private final String token;
    private final String transaction;

    private Transaction(String proxy, String token, String transaction) {
        this.proxy = proxy;
        this.token = token;
        this.transaction = transaction;
    }

    static Transaction begin(String proxy, String principal) {
        String token = ProcessHarness.session(proxy, principal);
        JsonNode begun =
                Api.post(
                        proxy,
                        "/v1/transactions",
                        "{'token':'%s','group':'%s'}".formatted(token, GROUP));
        assertThat(Api.outcome(begun)).as("%s", begun).isEqualTo("done");
        return new Transaction(proxy, token, begun.path("transaction").asText());
    }

    String token() {
        return token;
    }

    void increment(String key) {
        String operation = "{'op':'increment','key':'%s','delta':1}".formatted(key);
        JsonNode executed = post("execute", "'operations':[" + operation + "]");
        assertThat(Api.outcome(executed)).as("%s", executed).isEqualTo("done");
    }

    JsonNode commit(String key) {
        return post("commit", "'key':'" + key + "','deadlineMillis':30000");
    }

    private JsonNode post(String step, String rest) {
        String body =
                "{'token':'%s','group':'%s','transaction':'%s',%s}"
                        .formatted(token, GROUP, transaction, rest);
        return Api.post(proxy, "/v1/transactions/" + step, body);
    }
}
