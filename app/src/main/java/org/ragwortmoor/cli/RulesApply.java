package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.UUID;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Makes a rule file the next version. The file is checked before it is sent; the operation id is
 * printed before that, so that a resend after a lost answer can use it.
 */
final class RulesApply extends ApiCommand {
    @Argument(metaVar = "FILE", required = true, usage = "rule file")
    private String name;

    @Option(
            name = "--expect-version",
            metaVar = "N",
            required = true,
            usage = "version that the file replaces; another one gives a conflict")
    private long expectVersion;

    @Option(
            name = "--operation-id",
            metaVar = "ID",
            usage = "identifier of an earlier attempt that is sent again; default: a new one")
    private String operationId;

    @Option(
            name = "--operator",
            metaVar = "NAME",
            usage = "who applies the file, for the history; default: the user of the system")
    private String operator = System.getProperty("user.name", "");

    @Override
    ApiResult request(ApiClient client, Console console) {
        io.vavr.control.Option<RuleFile> file = RuleFile.read(name, console);
        if (file.isEmpty()) {
            return new ApiResult(ExitCode.ENVIRONMENT, Console.object(), "nothing was sent");
        }
        file.get().result().problems().forEach(p -> console.err().println(p.text(name)));
        if (file.get().result().rules().isEmpty()) {
            return new ApiResult(
                    ExitCode.REFUSED, file.get().json(), "the file has errors; nothing was sent");
        }
        String id = operationId == null ? UUID.randomUUID().toString() : operationId;
        console.err().println("operation id: " + id);
        ObjectNode body = Console.object();
        body.put("text", file.get().text());
        body.put("expectVersion", expectVersion);
        body.put("operationId", id);
        body.put("operator", operator);
        return client.post("/v1/rules", body);
    }
}
