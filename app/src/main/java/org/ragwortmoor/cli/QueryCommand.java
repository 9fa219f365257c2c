package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Option;

/** A query of records in a session, which is opened first unless a token is given. */
abstract class QueryCommand extends ApiCommand {
    @Option(name = "--group", metaVar = "GROUP", required = true, usage = "group of the records")
    private String group;

    @Option(name = "--token", metaVar = "TOKEN", usage = "token of the last answer of the session")
    private String token;

    @Option(
            name = "--principal",
            metaVar = "NAME",
            usage = "principal of a new session, if no token is given")
    private String principal;

    @Option(
            name = "--deadline",
            metaVar = "MS",
            usage = "time within which an answer is wanted, in milliseconds")
    private long deadlineMillis = 5_000;

    @Option(
            name = "--label",
            metaVar = "LABEL",
            usage = "work label; queries of one label take about equally long")
    private String label = "";

    /** Adds the fields of the query; returns what is wrong with the arguments, if so. */
    abstract io.vavr.control.Option<String> fill(ObjectNode body);

    /** Sends the query. */
    abstract ApiResult send(ApiClient client, ObjectNode body, Console console);

    @Override
    final ApiResult request(ApiClient client, Console console) {
        ObjectNode body = Console.object();
        io.vavr.control.Option<String> problem =
                token == null && principal == null
                        ? io.vavr.control.Option.of(
                                "no session is given; name --token or --principal")
                        : fill(body);
        if (problem.isDefined()) {
            return new ApiResult(ExitCode.USAGE, Console.object(), problem.get());
        }
        body.put("group", group);
        body.put("deadlineMillis", deadlineMillis);
        body.put("label", label);
        if (token != null) {
            body.put("token", token);
            return send(client, body, console);
        }
        ApiResult opened =
                client.post("/v1/sessions", Console.object().put("principal", principal));
        if (!opened.done()) {
            // An unused session has no effect, so nothing of the query was carried out.
            boolean unanswered = opened.exitCode() == ExitCode.UNKNOWN;
            return new ApiResult(
                    unanswered ? ExitCode.ENVIRONMENT : opened.exitCode(),
                    opened.body(),
                    "no session was opened: " + opened.message());
        }
        body.put("token", opened.body().path("token").asText());
        return send(client, body, console);
    }

    @Override
    final void print(ApiResult result, Console console) {
        for (JsonNode found : result.body().path("records")) {
            JsonNode value = found.path("value");
            boolean absent = value.isNull() || value.isMissingNode();
            console.out()
                    .println(
                            found.path("key").asText()
                                    + (absent ? " (no record)" : " = " + value.asText()));
        }
        ObjectNode rest = result.body().deepCopy();
        rest.remove("records");
        console.printText(rest);
    }
}
