package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.cli.ApiResult;
import org.ragwortmoor.cli.ExitCode;
import org.ragwortmoor.state.rules.RuleParser;
import org.ragwortmoor.state.rules.RuleSet;

/** Reads the rules from the control leader. */
final class RulesReader {
    private final ApiClient controls;

    RulesReader(ApiClient controls) {
        this.controls = controls;
    }

    /**
     * Returns the newest rules once they are in force on every proxy and no version is pending.
     *
     * @throws HandBackException if that does not happen before the deadline
     */
    PartnerRules awaitInForce(String partner, Deadline deadline) throws HandBackException {
        while (true) {
            ApiResult answer = controls.get("/v1/rules");
            JsonNode body = answer.body().path("body");
            String problem = answer.done() ? problem(body) : answer.message();
            if (problem.isEmpty()) {
                RuleSet rules =
                        RuleParser.parse(body.path("text").asText())
                                .rules()
                                .getOrElseThrow(
                                        () ->
                                                new HandBackException(
                                                        ExitCode.ENVIRONMENT,
                                                        "the rules cannot be read by this version"
                                                                + " of the command; use the one of"
                                                                + " the control processes"));
                return new PartnerRules(body.path("version").asLong(), rules, partner);
            }
            deadline.pause(0, problem);
        }
    }

    private static String problem(JsonNode body) {
        if (body.path("pending").asLong() > 0 || !body.path("inForce").asBoolean()) {
            long pending = body.path("pending").asLong();
            return "version "
                    + (pending > 0 ? pending : body.path("version").asLong())
                    + " of the rules is not in force; it waits for "
                    + body.path("waitingFor");
        }
        return "";
    }
}
