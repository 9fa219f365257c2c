package org.ragwortmoor.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.ragwortmoor.settings.Address;

/**
 * Client of the HTTP API of proxies and control processes.
 *
 * <p>Each address is tried in turn until one answers. A request is sent to a further address only
 * if the one before did not carry it out, or if the request may be repeated. If an attempt may have
 * been carried out and no later one is certain, the result is {@link ExitCode#UNKNOWN}.
 */
public final class ApiClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Bounds hints that point in a circle while a leader is being elected. */
    private static final int MAX_HINTS = 3;

    private final List<Address> addresses;
    private final Duration timeout;
    private final HttpClient http;

    /**
     * Creates a client.
     *
     * @param addresses addresses in the order in which they are tried
     * @param timeout longest wait for the answer of one address
     */
    public ApiClient(List<Address> addresses, Duration timeout) {
        this.addresses = List.copyOf(addresses);
        this.timeout = timeout;
        this.http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .proxy(HttpClient.Builder.NO_PROXY)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build();
    }

    /** Returns the addresses in the order in which they are tried. */
    public List<Address> addresses() {
        return addresses;
    }

    /** Reads from {@code path}. */
    public ApiResult get(String path) {
        return call(path, "", Repeat.READ);
    }

    /** Posts a body whose effect is the same when it is carried out twice. */
    public ApiResult post(String path, JsonNode body) {
        return call(path, body.toString(), Repeat.ALLOWED);
    }

    /** Posts a body that must be carried out at most once. */
    public ApiResult postOnce(String path, JsonNode body) {
        return call(path, body.toString(), Repeat.FORBIDDEN);
    }

    /** What a repetition of a request does. */
    private enum Repeat {
        READ,
        ALLOWED,
        FORBIDDEN
    }

    private ApiResult call(String path, String body, Repeat repeat) {
        Deque<Address> next = new ArrayDeque<>(addresses);
        ApiResult last = failure(ExitCode.USAGE, "no address is given; name one with --addresses");
        boolean uncertain = false;
        int hints = 0;
        while (!next.isEmpty()) {
            Address address = next.poll();
            Either<ApiResult, HttpResponse<String>> answer = send(address, path, body, repeat);
            if (answer.isLeft()) {
                last = answer.getLeft();
                if (last.exitCode() == ExitCode.UNKNOWN && repeat == Repeat.FORBIDDEN) {
                    return last;
                }
                uncertain |= last.exitCode() == ExitCode.UNKNOWN;
                continue;
            }
            int status = answer.get().statusCode();
            last = result(address, status, parse(answer.get().body()), repeat);
            if (status == 421) {
                Either<String, Address> leader = Address.parse(last.body().path("leader").asText());
                if (leader.isRight() && hints++ < MAX_HINTS) {
                    next.addFirst(leader.get());
                }
            } else if (status == 503) {
                uncertain |= last.exitCode() == ExitCode.UNKNOWN;
            } else {
                return certain(last, uncertain);
            }
        }
        return certain(last, uncertain);
    }

    /**
     * A refusal of one attempt says nothing about an earlier one that may have been carried out.
     */
    private static ApiResult certain(ApiResult last, boolean uncertain) {
        return uncertain && !last.done()
                ? new ApiResult(
                        ExitCode.UNKNOWN,
                        last.body(),
                        last.message() + "; an earlier attempt may have been carried out")
                : last;
    }

    private Either<ApiResult, HttpResponse<String>> send(
            Address address, String path, String body, Repeat repeat) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(timeout);
        if (repeat != Repeat.READ) {
            request.header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(body));
        }
        try {
            return Either.right(
                    http.send(
                            request.build(),
                            HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8)));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return Either.left(
                    failure(
                            ExitCode.ENVIRONMENT,
                            address + " cannot be reached; check the address and the process"));
        } catch (IOException e) {
            return Either.left(unanswered(address, repeat, String.valueOf(e.getMessage())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(unanswered(address, repeat, "interrupted"));
        }
    }

    private static ApiResult unanswered(Address address, Repeat repeat, String reason) {
        return repeat == Repeat.READ
                ? failure(
                        ExitCode.ENVIRONMENT,
                        address + " gave no answer (" + reason + "); try another address")
                : failure(
                        ExitCode.UNKNOWN,
                        address
                                + " gave no answer ("
                                + reason
                                + "); resend with the same identifier to learn the outcome");
    }

    private static ApiResult result(Address address, int status, JsonNode body, Repeat repeat) {
        String text = body.path("error").path("message").asText(body.path("message").asText());
        String message =
                status < 300 && text.isEmpty()
                        ? ""
                        : address + " answered " + status + (text.isEmpty() ? "" : ": " + text);
        String remedy =
                status == 421
                        ? "; it is not the leader and names none that answers, try again"
                        : "";
        return new ApiResult(exitCode(status, body, repeat), body, message + remedy);
    }

    private static ExitCode exitCode(int status, JsonNode body, Repeat repeat) {
        String outcome = body.path("outcome").asText();
        return switch (outcome) {
            case "done" -> ExitCode.OK;
            case "not-run" -> status == 400 ? ExitCode.USAGE : ExitCode.REFUSED;
            case "unknown" -> ExitCode.UNKNOWN;
            default -> exitCode(status, repeat);
        };
    }

    private static ExitCode exitCode(int status, Repeat repeat) {
        if (status >= 200 && status < 300) {
            return ExitCode.OK;
        }
        if (status == 400) {
            return ExitCode.USAGE;
        }
        if (status < 500 || status == 503) {
            return ExitCode.REFUSED;
        }
        return repeat == Repeat.READ ? ExitCode.ENVIRONMENT : ExitCode.UNKNOWN;
    }

    private static JsonNode parse(String body) {
        try {
            JsonNode json = JSON.readTree(body);
            return json.isMissingNode() ? JSON.createObjectNode() : json;
        } catch (JsonProcessingException e) {
            return JSON.createObjectNode().put("message", body.strip());
        }
    }

    private static ApiResult failure(ExitCode code, String message) {
        return new ApiResult(code, JSON.createObjectNode(), message);
    }
}
