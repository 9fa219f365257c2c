package org.ragwortmoor.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A caller that sends JSON to a process and reads the answer. */
public final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private Caller() {}

    /** Sends a body; {@code '} in it stands for a double quote. */
    public static JsonNode post(String address, String path, String body) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofSeconds(30))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body.replace('\'', '"')))
                        .build());
    }

    /** Asks for a page. */
    public static JsonNode get(String address, String path) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofSeconds(30))
                        .build());
    }

    /** Opens a session and returns its token. */
    public static String session(String address, String principal) {
        return post(address, "/v1/sessions", "{'principal':'" + principal + "'}")
                .path("token")
                .asText();
    }

    private static JsonNode send(HttpRequest request) {
        try {
            HttpResponse<String> answer =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            return JSON.readTree(answer.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
