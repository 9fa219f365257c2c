package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Writes records in one transaction. The idempotency key is printed before the write is sent, so
 * that a resend after a lost answer can use it.
 */
final class QueryWrite extends QueryCommand {
    private static final String PUT = "put:";
    private static final String DELETE = "delete:";
    private static final String INCREMENT = "increment:";

    @Argument(
            metaVar = "OPERATION",
            required = true,
            multiValued = true,
            usage = "put:KEY=VALUE, delete:KEY or increment:KEY=DELTA")
    private List<String> operations = new ArrayList<>();

    @Option(
            name = "--key",
            metaVar = "KEY",
            usage = "idempotency key of an earlier attempt; default: a new one")
    private String key;

    @Option(name = "--not-repeatable", usage = "the write must run at most once")
    private boolean notRepeatable;

    @Override
    io.vavr.control.Option<String> fill(ObjectNode body) {
        ArrayNode list = body.putArray("operations");
        for (String operation : operations) {
            if (!add(list, operation)) {
                return io.vavr.control.Option.of(
                        "'"
                                + operation
                                + "' is no operation; write put:KEY=VALUE, delete:KEY or"
                                + " increment:KEY=DELTA");
            }
        }
        body.put("key", key == null ? UUID.randomUUID().toString() : key);
        body.put("repeatable", !notRepeatable);
        return io.vavr.control.Option.none();
    }

    @Override
    ApiResult send(ApiClient client, ObjectNode body, Console console) {
        console.err().println("idempotency key: " + body.path("key").asText());
        return notRepeatable ? client.postOnce("/v1/write", body) : client.post("/v1/write", body);
    }

    private static boolean add(ArrayNode list, String text) {
        if (text.startsWith(DELETE)) {
            list.addObject().put("op", "delete").put("key", text.substring(DELETE.length()));
            return true;
        }
        int equals = text.indexOf('=');
        if (equals >= 0 && text.startsWith(PUT)) {
            list.addObject()
                    .put("op", "put")
                    .put("key", text.substring(PUT.length(), equals))
                    .put("value", text.substring(equals + 1));
            return true;
        }
        if (equals >= 0
                && text.startsWith(INCREMENT)
                && text.substring(equals + 1).matches("[+-]?[0-9]{1,18}")) {
            list.addObject()
                    .put("op", "increment")
                    .put("key", text.substring(INCREMENT.length(), equals))
                    .put("delta", Long.parseLong(text.substring(equals + 1)));
            return true;
        }
        return false;
    }
}
