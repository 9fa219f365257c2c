package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.http.CallerBodies.OperationBody;
import org.ragwortmoor.http.CallerBodies.ReadBody;
import org.ragwortmoor.http.CallerBodies.ScanBody;
import org.ragwortmoor.state.endpoint.Operation;

/** Turns the operations of a request body into checked {@link Operation}s. */
final class OperationReader {
    /** Bounds the work of one statement. */
    static final int MAX_OPERATIONS = 1_000;

    /** Keys are index entries of the database, whose size is limited there as well. */
    static final int MAX_KEY_LENGTH = 512;

    private static final int DEFAULT_SCAN_LIMIT = 100;

    private OperationReader() {}

    /** Returns the reads of {@code body}, or the first error. */
    static Either<ErrorBody, List<Operation>> reads(ReadBody body) {
        boolean hasKeys = body.keys() != null && !body.keys().isEmpty();
        if (hasKeys == (body.scan() != null)) {
            return bad("state either keys or scan");
        }
        if (!hasKeys) {
            return scan(body.scan()).map(List::of);
        }
        if (body.keys().size() > MAX_OPERATIONS) {
            return bad("at most " + MAX_OPERATIONS + " keys are allowed; split the request");
        }
        List<Operation> operations = new ArrayList<>(body.keys().size());
        for (String key : body.keys()) {
            if (invalid(key)) {
                return badKey();
            }
            operations.add(new Operation.Get(key));
        }
        return Either.right(operations);
    }

    /** Returns the operations of a write or of a statement in a transaction, or the first error. */
    static Either<ErrorBody, List<Operation>> operations(List<OperationBody> bodies) {
        if (bodies == null || bodies.isEmpty()) {
            return bad("state at least one operation");
        }
        if (bodies.size() > MAX_OPERATIONS) {
            return bad("at most " + MAX_OPERATIONS + " operations are allowed; split the request");
        }
        List<Operation> operations = new ArrayList<>(bodies.size());
        for (OperationBody body : bodies) {
            Either<ErrorBody, Operation> operation = operation(body);
            if (operation.isLeft()) {
                return Either.left(operation.getLeft());
            }
            operations.add(operation.get());
        }
        return Either.right(operations);
    }

    private static Either<ErrorBody, Operation> operation(OperationBody body) {
        if (body == null || body.op() == null) {
            return bad("each operation needs op: get, put, delete or increment");
        }
        if (invalid(body.key())) {
            return badKey();
        }
        return switch (body.op()) {
            case "get" -> Either.right(new Operation.Get(body.key()));
            case "delete" -> Either.right(new Operation.Delete(body.key()));
            case "put" ->
                    body.value() == null
                            ? bad("put needs a value")
                            : Either.right(new Operation.Put(body.key(), body.value()));
            case "increment" ->
                    body.delta() == null
                            ? bad("increment needs a delta")
                            : Either.right(new Operation.Increment(body.key(), body.delta()));
            default -> bad("unknown op " + body.op() + "; use get, put, delete or increment");
        };
    }

    private static Either<ErrorBody, Operation> scan(ScanBody scan) {
        int limit = scan.limit() == null ? DEFAULT_SCAN_LIMIT : scan.limit();
        if (limit < 1 || limit > MAX_OPERATIONS) {
            return bad("the limit of a scan is 1 to " + MAX_OPERATIONS);
        }
        String prefix = scan.prefix() == null ? "" : scan.prefix();
        String after = scan.after() == null ? "" : scan.after();
        if (prefix.length() > MAX_KEY_LENGTH || after.length() > MAX_KEY_LENGTH) {
            return badKey();
        }
        return Either.right(new Operation.Scan(prefix, after, limit));
    }

    private static boolean invalid(String key) {
        return key == null || key.isEmpty() || key.length() > MAX_KEY_LENGTH;
    }

    private static <T> Either<ErrorBody, T> badKey() {
        return bad("a key has 1 to " + MAX_KEY_LENGTH + " characters");
    }

    private static <T> Either<ErrorBody, T> bad(String message) {
        return Either.left(new ErrorBody("BAD_REQUEST", message, 0));
    }
}
