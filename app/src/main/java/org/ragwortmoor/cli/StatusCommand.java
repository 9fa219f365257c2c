package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.ragwortmoor.settings.Address;

/**
 * Shows the state of all named processes; the groups come from the control leader. One process that
 * cannot be reached does not hide the others.
 */
final class StatusCommand extends ApiCommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    @Override
    ApiResult request(ApiClient client, Console console) {
        ObjectNode body = Console.object();
        ArrayNode processes = body.putArray("processes");
        boolean reached = false;
        for (Address address : client.addresses()) {
            ApiResult result = new ApiClient(List.of(address), TIMEOUT).get("/v1/status");
            ObjectNode process = processes.addObject().put("address", address.toString());
            if (!result.done()) {
                process.put("error", result.message());
                continue;
            }
            reached = true;
            summarize(result.body(), process, body);
        }
        return new ApiResult(
                reached ? ExitCode.OK : ExitCode.ENVIRONMENT,
                body,
                reached ? "" : "no process can be reached; check the addresses and the processes");
    }

    private static void summarize(JsonNode status, ObjectNode process, ObjectNode body) {
        boolean leads = status.path("leads").asBoolean();
        status.fields()
                .forEachRemaining(
                        field -> {
                            if (field.getValue().isValueNode()) {
                                process.set(field.getKey(), field.getValue());
                            }
                        });
        if (leads) {
            for (String name :
                    List.of("groups", "proxies", "freshReporters", "waitingFor", "notInForceOn")) {
                body.set(name, status.path(name));
            }
        }
    }
}
