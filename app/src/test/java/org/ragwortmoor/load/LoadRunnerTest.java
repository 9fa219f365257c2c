package org.ragwortmoor.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.history.HistoryChecker;
import org.ragwortmoor.history.Outcome;
import org.ragwortmoor.history.ViolationKind;
import org.ragwortmoor.settings.Address;

/** Runs loads against one fake proxy that keeps its records in a map. */
class LoadRunnerTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, String> records = new HashMap<>();
    private final Map<String, Long> executed = new HashMap<>();
    private HttpServer server;
    private long index;
    private int writes;
    private int loseEvery = Integer.MAX_VALUE;
    private int unknownEvery = Integer.MAX_VALUE;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", this::serve);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop(0);
    }

    private synchronized void serve(HttpExchange exchange) throws IOException {
        JsonNode body = JSON.readTree(exchange.getRequestBody());
        ObjectNode answer = JSON.createObjectNode().put("token", "t").put("outcome", "done");
        switch (exchange.getRequestURI().getPath()) {
            case "/v1/read" -> body.path("keys").forEach(k -> returned(answer, k.asText()));
            case "/v1/write" -> write(body, answer);
            case "/v1/transactions" -> answer.put("transaction", "x" + index);
            case "/v1/transactions/execute" -> answer.put("outcome", "not-run");
            case "/v1/outcome" -> outcome(body, answer);
            default -> answer.put("session", "s");
        }
        byte[] bytes = JSON.writeValueAsBytes(answer);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void returned(ObjectNode answer, String key) {
        ObjectNode record = answer.withArray("records").addObject().put("key", key);
        if (records.containsKey(key)) {
            record.put("value", records.get(key));
        }
    }

    private void write(JsonNode body, ObjectNode answer) {
        JsonNode operation = body.path("operations").path(0);
        String key = operation.path("key").asText();
        writes++;
        index++;
        if (writes % loseEvery != 0) {
            if (operation.path("op").asText().equals("put")) {
                records.put(key, operation.path("value").asText());
            } else {
                long before = Long.parseLong(records.getOrDefault(key, "0"));
                records.put(key, Long.toString(before + operation.path("delta").asLong()));
            }
        }
        executed.put(body.path("key").asText(), index);
        answer.put("key", body.path("key").asText()).put("position", "1:" + index);
        if (writes % unknownEvery == 0) {
            answer.put("outcome", "unknown").remove("position");
        }
    }

    private void outcome(JsonNode body, ObjectNode answer) {
        Long found = executed.get(body.path("key").asText());
        answer.put("key", body.path("key").asText());
        answer.put("position", "1:" + found);
    }

    private LoadRunner.Run run() {
        Workload workload =
                LoadSettings.parse(
                                "--deployment=carritos",
                                "--base-rate=400",
                                "--duration=500",
                                "--read-percent=50",
                                "--transaction-percent=10",
                                "--sessions=5",
                                "--keys=5",
                                "--deadline=60000")
                        .workload();
        Address proxy = Address.parse("127.0.0.1:" + server.getAddress().getPort()).get();
        return LoadRunner.run(
                workload,
                List.of(),
                new AddressTarget(List.of(proxy), List.of("g")),
                new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    }

    /** Guards against requests that get lost in the tool, and false alarms about a right proxy. */
    @Test
    void everyPlannedRequestIsAnsweredAndTheHistoryIsRight() {
        unknownEvery = 5;
        LoadRunner.Run run = run();
        assertThat(run.samples()).hasSizeGreaterThan(100);
        assertThat(run.samples()).noneMatch(s -> s.outcome() == Outcome.UNKNOWN);
        assertThat(run.samples())
                .anyMatch(s -> s.firstOutcome() == Outcome.UNKNOWN)
                .allMatch(s -> s.latencyNanos() >= 0);
        assertThat(HistoryChecker.check(run.history())).isEmpty();
    }

    /** Guards against a load whose history hides that acknowledged writes are lost. */
    @Test
    void lostWritesAreFound() {
        loseEvery = 2;
        assertThat(HistoryChecker.check(run().history()))
                .extracting(v -> v.kind())
                .contains(ViolationKind.ACKNOWLEDGED_LOST);
    }
}
