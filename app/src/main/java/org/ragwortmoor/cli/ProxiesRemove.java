package org.ragwortmoor.cli;

import io.vavr.control.Either;
import org.kohsuke.args4j.Option;

/** Removes a proxy that is stopped for good, so that nothing waits for it. */
final class ProxiesRemove extends OperatorCommand {
    @Option(name = "--proxy", metaVar = "NAME", required = true, usage = "stopped proxy")
    private String proxy;

    @Override
    Either<ApiResult, Change> change(Console console) {
        return Either.right(new Change("/v1/proxies/remove", Console.object().put("proxy", proxy)));
    }
}
