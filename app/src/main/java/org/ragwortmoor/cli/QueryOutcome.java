package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Option;

/** Asks for the outcome of an earlier write and cancels it if it has not run. */
final class QueryOutcome extends ApiCommand {
    @Option(
            name = "--token",
            metaVar = "TOKEN",
            required = true,
            usage = "token of the last answer of the session")
    private String token;

    @Option(name = "--group", metaVar = "GROUP", required = true, usage = "group of the write")
    private String group;

    @Option(
            name = "--key",
            metaVar = "KEY",
            required = true,
            usage = "idempotency key of the write")
    private String key;

    @Override
    ApiResult request(ApiClient client, Console console) {
        ObjectNode body = Console.object();
        body.put("token", token).put("group", group).put("key", key);
        return client.post("/v1/outcome", body);
    }
}
