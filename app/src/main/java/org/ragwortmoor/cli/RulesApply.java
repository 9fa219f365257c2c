package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Makes a rule file the next version. The file is checked before it is sent. */
final class RulesApply extends OperatorCommand {
    @Argument(metaVar = "FILE", required = true, usage = "rule file")
    private String name;

    @Option(
            name = "--expect-version",
            metaVar = "N",
            required = true,
            usage = "version that the file replaces; another one gives a conflict")
    private long expectVersion;

    @Override
    Either<ApiResult, Change> change(Console console) {
        io.vavr.control.Option<RuleFile> file = RuleFile.read(name, console);
        if (file.isEmpty()) {
            return Either.left(
                    new ApiResult(ExitCode.ENVIRONMENT, Console.object(), "nothing was sent"));
        }
        file.get().result().problems().forEach(p -> console.err().println(p.text(name)));
        if (file.get().result().rules().isEmpty()) {
            return Either.left(
                    new ApiResult(
                            ExitCode.REFUSED,
                            file.get().json(),
                            "the file has errors; nothing was sent"));
        }
        ObjectNode body = Console.object();
        body.put("text", file.get().text());
        body.put("expectVersion", expectVersion);
        return Either.right(new Change("/v1/rules", body));
    }
}
