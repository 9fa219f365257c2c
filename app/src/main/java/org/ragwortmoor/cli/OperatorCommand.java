package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.UUID;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.settings.Setting;

/**
 * A command that changes the control group's state. It names the operator and an operation id,
 * which is printed before it is sent, so that a resend after a lost answer changes nothing twice.
 */
abstract class OperatorCommand extends ApiCommand {
    private static final String OPERATOR = "operator";

    @Option(
            name = "--" + OPERATOR,
            metaVar = "NAME",
            usage =
                    "who asks for the change; default: RAGWORTMOOR_OPERATOR, then the user of the"
                            + " system")
    private String operator;

    @Option(
            name = "--operation-id",
            metaVar = "ID",
            usage = "identifier of an earlier attempt that is sent again; default: a new one")
    private String operationId;

    /** Returns the path and body of the change, or a result if nothing is to be sent. */
    abstract io.vavr.control.Either<ApiResult, Change> change(Console console);

    /** A change to be posted. */
    record Change(String path, ObjectNode body) {}

    @Override
    final ApiResult request(ApiClient client, Console console) {
        String name = operator(console);
        io.vavr.control.Either<ApiResult, Change> change = change(console);
        if (change.isLeft()) {
            return change.getLeft();
        }
        String id = operationId == null ? UUID.randomUUID().toString() : operationId;
        console.err().println("operation id: " + id);
        ObjectNode body = change.get().body();
        body.put("operator", name);
        body.put("operationId", id);
        return client.post(change.get().path(), body);
    }

    private String operator(Console console) {
        if (operator != null) {
            return operator;
        }
        String fromEnvironment = console.environment().get(Setting.variable(OPERATOR));
        return fromEnvironment != null ? fromEnvironment : System.getProperty("user.name", "");
    }
}
