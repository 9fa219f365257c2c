package org.ragwortmoor.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.List;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.settings.Address;

/** A caller with one session that may use any proxy. Not safe for concurrent use. */
final class DemoCaller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final String group;
    private String token = "";

    DemoCaller(String group) {
        this.group = group;
    }

    /** Opens the session; returns whether a token was given. */
    boolean open(String proxy, String principal) {
        ObjectNode body = JSON.createObjectNode().put("principal", principal);
        token = client(proxy).post("/v1/sessions", body).body().path("token").asText();
        return !token.isEmpty();
    }

    /** Reads one record at the session's level. */
    JsonNode read(String proxy, String key) {
        ObjectNode body = request();
        body.putArray("keys").add(key);
        return send(proxy, "/v1/read", body);
    }

    /** Reads one record with every write acknowledged before. */
    JsonNode readStrong(String proxy, String key) {
        ObjectNode body = request().put("level", "strong");
        body.putArray("keys").add(key);
        return send(proxy, "/v1/read", body);
    }

    /** Reads one record with a stated age in milliseconds. */
    JsonNode readAged(String proxy, String key, long maxAgeMillis) {
        ObjectNode body = request().put("level", "age").put("maxAgeMillis", maxAgeMillis);
        body.putArray("keys").add(key);
        return send(proxy, "/v1/read", body);
    }

    /** Writes one record. */
    JsonNode put(String proxy, String key, String value) {
        ObjectNode body = request();
        operation(body, "put", key).put("value", value);
        return send(proxy, "/v1/write", body);
    }

    /** Adds 1 to a record under an idempotency key; not repeatable. */
    JsonNode increment(String proxy, String key, String idempotencyKey) {
        ObjectNode body = request().put("key", idempotencyKey).put("repeatable", false);
        operation(body, "increment", key).put("delta", 1);
        return send(proxy, "/v1/write", body);
    }

    /** Begins a transaction and returns its identifier. */
    String begin(String proxy) {
        return send(proxy, "/v1/transactions", request()).path("transaction").asText();
    }

    /** Writes one record within a transaction. */
    JsonNode putWithin(String proxy, String transaction, String key, String value) {
        ObjectNode body = request().put("transaction", transaction);
        operation(body, "put", key).put("value", value);
        return send(proxy, "/v1/transactions/execute", body);
    }

    /** Commits a transaction. */
    JsonNode commit(String proxy, String transaction) {
        return send(proxy, "/v1/transactions/commit", request().put("transaction", transaction));
    }

    /** Returns the value in an answer. */
    static Option<String> value(JsonNode answer) {
        JsonNode value = answer.path("records").path(0).path("value");
        return value.isMissingNode() ? Option.none() : Option.of(value.asText());
    }

    /** Returns whether an answer says that the request was executed. */
    static boolean done(JsonNode answer) {
        return answer.path("outcome").asText().equals("done");
    }

    private ObjectNode request() {
        return JSON.createObjectNode().put("token", token).put("group", group);
    }

    private static ObjectNode operation(ObjectNode body, String op, String key) {
        return body.putArray("operations").addObject().put("op", op).put("key", key);
    }

    private JsonNode send(String proxy, String path, ObjectNode body) {
        JsonNode answer = client(proxy).postOnce(path, body).body();
        token = answer.path("token").asText(token);
        return answer;
    }

    private static ApiClient client(String address) {
        return DemoClients.of(List.of(Address.parse(address).get()), TIMEOUT);
    }
}
