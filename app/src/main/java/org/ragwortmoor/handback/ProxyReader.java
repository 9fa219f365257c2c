package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.cli.ApiResult;
import org.ragwortmoor.cli.Console;
import org.ragwortmoor.cli.ExitCode;

/** Scans one prefix in a session that starts at a confirmed position. */
final class ProxyReader {
    private static final long REQUEST_MILLIS = 5_000;
    private static final Set<String> FINAL_KINDS =
            Set.of("BAD_REQUEST", "FORBIDDEN", "UNKNOWN_GROUP");
    private static final Set<String> SESSION_KINDS = Set.of("TOKEN_EXPIRED", "BAD_TOKEN");

    private final ApiClient proxies;
    private final String principal;
    private final String group;
    private final String prefix;
    private final Deadline deadline;
    private String token = "";

    ProxyReader(
            ApiClient proxies, String principal, String group, String prefix, Deadline deadline) {
        this.proxies = proxies;
        this.principal = principal;
        this.group = group;
        this.prefix = prefix;
        this.deadline = deadline;
    }

    /**
     * Opens a new session and returns the head of the group, confirmed by a majority. The session
     * contains it from now on. A confirmed position is never lost, so every later one contains it.
     *
     * @throws HandBackException if the rules forbid the scan or the deadline has passed
     */
    String confirmedPosition() throws HandBackException {
        while (true) {
            token = openSession();
            ApiResult answer = proxies.post("/v1/read", body("strong", "", 1));
            if (answer.done()) {
                checkComplete(answer.body());
                return answer.body().path("position").asText();
            }
            refusal(answer);
        }
    }

    /**
     * Returns the answer with the records after {@code after}, read from an endpoint whose log
     * contains what the session has seen. An answer without {@code scannedTo} is behind the last
     * record.
     *
     * @throws PositionLostException if a failover discarded what an earlier page had seen
     * @throws HandBackException if records are withheld or the deadline has passed
     */
    JsonNode page(String after, int limit) throws HandBackException {
        while (true) {
            ApiResult answer = proxies.post("/v1/read", body("session", after, limit));
            if (answer.done()) {
                checkComplete(answer.body());
                return answer.body();
            }
            String kind = kind(answer);
            if (kind.equals("POSITION_LOST")) {
                throw new PositionLostException(answer.message());
            }
            refusal(answer);
            if (SESSION_KINDS.contains(kind)) {
                confirmedPosition();
            }
        }
    }

    private void checkComplete(JsonNode body) throws HandBackException {
        if (body.path("token").asText().isEmpty()) {
            throw new HandBackException(
                    ExitCode.REFUSED,
                    "the answer has no session token: " + body.path("error").path("message"));
        }
        token = body.path("token").asText();
        int withheld = body.path("withheld").asInt();
        if (withheld > 0) {
            String reason =
                    withheld + " records of " + group + " under \"" + prefix + "\" are withheld";
            throw PartnerRules.unreadable(reason, principal, "NAME (the owner of the records)");
        }
    }

    private void refusal(ApiResult answer) throws HandBackException {
        if (FINAL_KINDS.contains(kind(answer))) {
            throw new HandBackException(ExitCode.REFUSED, answer.message());
        }
        deadline.pause(
                answer.body().path("error").path("retryAfterMillis").asLong(), answer.message());
    }

    private static String kind(ApiResult answer) {
        return answer.body().path("error").path("kind").asText();
    }

    private String openSession() throws HandBackException {
        while (true) {
            ApiResult answer =
                    proxies.post("/v1/sessions", Console.object().put("principal", principal));
            if (answer.done()) {
                return answer.body().path("token").asText();
            }
            refusal(answer);
        }
    }

    private ObjectNode body(String level, String after, int limit) {
        ObjectNode body =
                Console.object()
                        .put("token", token)
                        .put("group", group)
                        .put("level", level)
                        .put("label", "hand-back")
                        .put("deadlineMillis", REQUEST_MILLIS);
        body.putObject("scan").put("prefix", prefix).put("after", after).put("limit", limit);
        return body;
    }
}
