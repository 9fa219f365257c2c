package org.ragwortmoor.state.statement;

import io.vavr.control.Either;

/** A statement of a caller, parsed as far as the proxy needs to interpret it. */
public sealed interface Statement {
    /** Starts a transaction; {@code readOnly} if the caller declares that it does not write. */
    record Begin(boolean readOnly) implements Statement {}

    /** Commits a transaction. */
    record Commit() implements Statement {}

    /** Rolls back a transaction. */
    record Rollback() implements Statement {}

    /** Reads an item. */
    record Read(String text) implements Statement {}

    /** Writes an item. */
    record Write(String text) implements Statement {}

    /** Sets a session variable. */
    record SetValue(String name, String value) implements Statement {}

    /** Prepares a statement under a name that is local to the session. */
    record Prepare(String name, PreparedShape shape) implements Statement {}

    /** Runs a prepared statement; {@code rest} is the text after the name. */
    record Execute(String name, String rest) implements Statement {}

    /** Removes a prepared statement. */
    record Deallocate(String name) implements Statement {}

    /**
     * Parses a statement.
     *
     * @return the statement, or an error message
     */
    static Either<String, Statement> parse(String text) {
        String[] words = text.split(" ", 3);
        String verb = words[0];
        int arguments = words.length - 1;
        switch (verb) {
            case "READ":
                return arguments >= 1 ? Either.right(new Read(text)) : missing(verb, "an item");
            case "WRITE":
                return arguments == 2
                        ? Either.right(new Write(text))
                        : missing(verb, "an item and data");
            case "EXECUTE":
                return arguments == 2
                        ? Either.right(new Execute(words[1], words[2]))
                        : missing(verb, "a name and an item");
            case "SET":
                return arguments == 2
                        ? Either.right(new SetValue(words[1], words[2]))
                        : missing(verb, "a name and a value");
            case "PREPARE":
                return prepare(words);
            case "DEALLOC":
                return arguments == 1
                        ? Either.right(new Deallocate(words[1]))
                        : missing(verb, "one name");
            case "BEGIN":
                return begin(words);
            case "COMMIT":
                return arguments == 0 ? Either.right(new Commit()) : surplus(verb);
            case "ROLLBACK":
                return arguments == 0 ? Either.right(new Rollback()) : surplus(verb);
            default:
                return Either.left("there is no such statement");
        }
    }

    private static Either<String, Statement> begin(String[] words) {
        if (words.length == 1) {
            return Either.right(new Begin(false));
        }
        return words.length == 2 && words[1].equals("READ")
                ? Either.right(new Begin(true))
                : surplus("BEGIN");
    }

    private static Either<String, Statement> prepare(String[] words) {
        if (words.length < 3) {
            return missing("PREPARE", "a name, READ or WRITE, and a shape");
        }
        String[] shape = words[2].split(" ", 2);
        boolean writes = shape[0].equals("WRITE");
        if (shape.length < 2 || !(writes || shape[0].equals("READ"))) {
            return missing("PREPARE", "READ or WRITE, and a shape");
        }
        return Either.right(new Prepare(words[1], new PreparedShape(writes, shape[1])));
    }

    private static Either<String, Statement> missing(String verb, String what) {
        return Either.left(verb + " needs " + what);
    }

    private static Either<String, Statement> surplus(String verb) {
        return Either.left(verb + " takes no such argument");
    }
}
