package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Reads records. */
final class QueryRead extends QueryCommand {
    @Argument(metaVar = "KEY", required = true, multiValued = true, usage = "keys to read")
    private List<String> keys = new ArrayList<>();

    @Option(name = "--level", usage = "how current the read must be")
    private Level level = Level.SESSION;

    @Option(
            name = "--max-age",
            metaVar = "MS",
            usage = "accepted age with --level AGE, in milliseconds; default: of the rules")
    private Long maxAgeMillis;

    /** The levels of reads. */
    enum Level {
        STRONG,
        SESSION,
        AGE
    }

    @Override
    io.vavr.control.Option<String> fill(ObjectNode body) {
        keys.forEach(body.putArray("keys")::add);
        body.put("level", level.name().toLowerCase(Locale.ROOT));
        if (maxAgeMillis != null) {
            body.put("maxAgeMillis", maxAgeMillis);
        }
        return io.vavr.control.Option.none();
    }

    @Override
    ApiResult send(ApiClient client, ObjectNode body, Console console) {
        return client.post("/v1/read", body);
    }
}
