package org.ragwortmoor.cli;

import org.kohsuke.args4j.Option;

/** Opens a session and prints its token. */
final class QuerySession extends ApiCommand {
    @Option(
            name = "--principal",
            metaVar = "NAME",
            required = true,
            usage = "principal of the session")
    private String principal;

    @Override
    ApiResult request(ApiClient client, Console console) {
        return client.post("/v1/sessions", Console.object().put("principal", principal));
    }
}
