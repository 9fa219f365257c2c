package org.ragwortmoor.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.http.CallerBodies.Answer;
import org.ragwortmoor.http.CallerBodies.BeginBody;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.http.CallerBodies.OutcomeBody;
import org.ragwortmoor.http.CallerBodies.ReadBody;
import org.ragwortmoor.http.CallerBodies.RecordBody;
import org.ragwortmoor.http.CallerBodies.SessionAnswer;
import org.ragwortmoor.http.CallerBodies.SessionBody;
import org.ragwortmoor.http.CallerBodies.TransactionBody;
import org.ragwortmoor.http.CallerBodies.WriteBody;

/** Guards against requests that reach the wrong route and errors without outcome and remedy. */
class HttpServerTest {
    private static HttpServer server;
    private final HttpClient client = HttpClient.newHttpClient();

    @BeforeAll
    static void start() {
        server = HttpServer.start("127.0.0.1", 0, 4096, new EchoProxy());
    }

    @AfterAll
    static void stop() {
        server.close();
    }

    @Test
    void answersReadWithRecords() throws Exception {
        HttpResponse<String> answer =
                post("/v1/read", "{\"token\":\"t\",\"group\":\"g\",\"keys\":[\"a\"]}");
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body())
                .contains("\"outcome\":\"done\"")
                .contains("{\"key\":\"a\",\"value\":\"g\"}")
                .doesNotContain("null");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    /v1/read    | {"token":     | 400
                    /v1/read    | {"tokn":"t"}  | 400
                    /v1/nowhere | {}            | 404
                    """)
    void refusesMalformedRequests(String path, String body, int status) throws Exception {
        HttpResponse<String> answer = post(path, body);
        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.body()).contains("\"outcome\":\"not-run\"").contains("docs/api.md");
    }

    @Test
    void refusesOversizedRequest() throws Exception {
        String body = "{\"token\":\"" + "x".repeat(8000) + "\"}";
        HttpResponse<String> answer = post("/v1/read", body);
        assertThat(answer.statusCode()).isEqualTo(413);
    }

    @Test
    void mapsErrorKindToStatus() throws Exception {
        assertThat(post("/v1/write", "{\"token\":\"t\"}").statusCode()).isEqualTo(429);
    }

    private HttpResponse<String> post(String path, String body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the group as the value of the first key, and refuses writes. */
    private static final class EchoProxy implements ProxyApi {
        @Override
        public Either<ErrorBody, SessionAnswer> openSession(SessionBody body) {
            return Either.right(new SessionAnswer("t", "s", 0));
        }

        @Override
        public CompletionStage<Answer> read(ReadBody body) {
            List<RecordBody> records = List.of(new RecordBody(body.keys().get(0), body.group()));
            return done(
                    new Answer(
                            "done", records, null, null, null, null, null, null, null, null, null,
                            null));
        }

        @Override
        public CompletionStage<Answer> write(WriteBody body) {
            return done(Answer.notRun("OVERLOADED", "try again", 100));
        }

        @Override
        public CompletionStage<Answer> begin(BeginBody body) {
            return done(Answer.notRun("NO_PRIMARY", "wait", 0));
        }

        @Override
        public CompletionStage<Answer> execute(TransactionBody body) {
            return begin(null);
        }

        @Override
        public CompletionStage<Answer> commit(TransactionBody body) {
            return begin(null);
        }

        @Override
        public CompletionStage<Answer> rollback(TransactionBody body) {
            return begin(null);
        }

        @Override
        public CompletionStage<Answer> outcome(OutcomeBody body) {
            return begin(null);
        }

        private static CompletionStage<Answer> done(Answer answer) {
            return CompletableFuture.completedFuture(answer);
        }
    }
}
