package org.ragwortmoor.cli;

import io.vavr.control.Either;
import org.kohsuke.args4j.Option;

/**
 * Replaces a control member that lost its disk by its new incarnation. Done means that another
 * member may be lost.
 */
final class MembersRepair extends OperatorCommand {
    @Option(
            name = "--node",
            metaVar = "ID",
            required = true,
            usage = "node identifier of the member, already started with an empty data folder")
    private String node;

    @Override
    Either<ApiResult, Change> change(Console console) {
        return Either.right(new Change("/v1/members/repair", Console.object().put("node", node)));
    }
}
