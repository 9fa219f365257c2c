package org.ragwortmoor.cli;

import io.vavr.control.Either;
import org.kohsuke.args4j.Option;

/** Keeps new work away from an endpoint; a primary is replaced first. */
final class EndpointsDrain extends OperatorCommand {
    @Option(name = "--group", metaVar = "GROUP", required = true, usage = "group of the endpoint")
    private String group;

    @Option(
            name = "--endpoint",
            metaVar = "NAME",
            required = true,
            usage = "endpoint that is to get no new work")
    private String endpoint;

    @Override
    Either<ApiResult, Change> change(Console console) {
        return Either.right(
                new Change(
                        "/v1/endpoints/drain",
                        Console.object().put("group", group).put("endpoint", endpoint)));
    }
}
