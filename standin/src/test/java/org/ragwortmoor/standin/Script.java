package org.ragwortmoor.standin;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointAnswer.Refused;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * Runs calls written as text, so that contract tests are tables.
 *
 * <p>Operations are {@code k=v}, {@code k+1}, {@code -k}, {@code ?k} and {@code ?p*}; identities
 * are {@code key/attempt}.
 */
final class Script {
    private final StandinDatabase database;

    Script(StandinDatabase database) {
        this.database = database;
    }

    /** Runs one call and returns its answer as text. */
    String run(String call) {
        String[] words = call.trim().split(" +", -1);
        long number = words.length > 1 && words[1].matches("\\d+") ? Long.parseLong(words[1]) : 0;
        return switch (words[0]) {
            case "fence" -> role(database.fence(number));
            case "promote" -> role(database.promote(number));
            case "follow" -> role(database.follow(number, words[2]));
            case "write" -> text(database.write(number, operations(words, 3), identity(words[2])));
            case "read" -> text(database.read(operations(words, 1)));
            case "begin" -> text(database.begin(number));
            case "in" -> text(database.inTransaction(number, operations(words, 2)));
            case "commit" -> text(database.commit(number, identity(words[2])));
            case "resolve" -> text(database.resolve(number, identity(words[2])));
            case "rollback" -> {
                database.rollback(number);
                yield "done";
            }
            default -> throw new IllegalArgumentException(call);
        };
    }

    private String role(Option<Refused> refusal) {
        Promise promise = database.promise();
        return refusal.map(r -> r.kind().toString())
                .getOrElse(
                        () ->
                                (promise.primary() ? "primary " : "replica ")
                                        + promise.term()
                                        + " at "
                                        + database.last());
    }

    private static String text(EndpointAnswer answer) {
        if (answer instanceof EndpointAnswer.Result result) {
            return result.position()
                    + result.records().stream().map(Script::text).collect(Collectors.joining())
                    + (result.duplicate() ? " duplicate" : "");
        }
        if (answer instanceof EndpointAnswer.Resolved resolved) {
            return (resolved.executed() ? "executed " : "cancelled ") + resolved.position();
        }
        if (answer instanceof EndpointAnswer.Began began) {
            return "transaction " + began.transaction();
        }
        Refused refused = (Refused) answer;
        return refused.kind()
                + (refused.cancelledAttempt() > 0 ? " " + refused.cancelledAttempt() : "");
    }

    private static String text(ReadRecord record) {
        return " " + record.key() + "=" + record.value().getOrElse("none");
    }

    private static WriteIdentity identity(String text) {
        String[] parts = text.split("/", -1);
        return new WriteIdentity(parts[0], Integer.parseInt(parts[1]));
    }

    private static List<Operation> operations(String[] words, int from) {
        List<Operation> operations = new ArrayList<>();
        for (int i = from; i < words.length; i++) {
            operations.add(operation(words[i]));
        }
        return operations;
    }

    private static Operation operation(String text) {
        if (text.startsWith("?")) {
            String key = text.substring(1);
            return key.endsWith("*")
                    ? new Operation.Scan(key.substring(0, key.length() - 1), "", 10)
                    : new Operation.Get(key);
        }
        if (text.startsWith("-")) {
            return new Operation.Delete(text.substring(1));
        }
        String[] parts = text.split("[=+]", -1);
        return text.contains("+")
                ? new Operation.Increment(parts[0], Long.parseLong(parts[1]))
                : new Operation.Put(parts[0], parts[1]);
    }
}
