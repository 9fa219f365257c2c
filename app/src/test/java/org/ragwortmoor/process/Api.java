package org.ragwortmoor.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Requests to processes that may be down or frozen: no answer is a missing node. */
final class Api {
    /** Longer than the longest wait of an operator's request. */
    private static final Duration LONG = Duration.ofSeconds(45);

    private static final Duration SHORT = Duration.ofSeconds(3);
    private static final ObjectMapper JSON = new ObjectMapper();

    /** HTTP/1.1 only, without the upgrade header that the first request would carry. */
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(SHORT)
                    .build();

    private Api() {}

    /** Sends a body; {@code '} in it stands for a double quote. */
    static JsonNode post(String address, String path, String body) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(LONG)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body.replace('\'', '"')))
                        .build());
    }

    static JsonNode get(String address, String path) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(SHORT)
                        .build());
    }

    /** Returns an answer that is no JSON; empty if there is none. */
    static String text(String address, String path) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(SHORT)
                        .build();
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            return "";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    static String outcome(JsonNode answer) {
        return answer.path("outcome").asText();
    }

    static String errorKind(JsonNode answer) {
        return answer.path("error").path("kind").asText();
    }

    private static JsonNode send(HttpRequest request) {
        try {
            HttpResponse<String> answer =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return JSON.readTree(answer.body());
        } catch (IOException e) {
            return MissingNode.getInstance();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
