package org.ragwortmoor.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;

/**
 * Thrown if a message is malformed; caught by {@link #tryConvert} and never leaves this package.
 */
final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ProtocolError error;

    MalformedException(ProtocolError.Kind kind, String message) {
        super(message, null, false, false);
        this.error = new ProtocolError(kind, message);
    }

    /** A conversion of a message that may be malformed. */
    interface Conversion<T> {
        /** Converts the message. */
        T convert() throws MalformedException, InvalidProtocolBufferException;
    }

    /** Runs a conversion and returns its result, or the error with which it failed. */
    static <T> Either<ProtocolError, T> tryConvert(Conversion<T> conversion) {
        try {
            return Either.right(conversion.convert());
        } catch (MalformedException e) {
            return Either.left(e.error);
        } catch (InvalidProtocolBufferException e) {
            return Either.left(
                    new ProtocolError(
                            ProtocolError.Kind.MALFORMED, "not a message: " + e.getMessage()));
        }
    }

    static MalformedException missing(String field) {
        return new MalformedException(ProtocolError.Kind.MISSING, field + " is missing or unknown");
    }

    static long requireNonNegative(long value, String field) throws MalformedException {
        if (value < 0) {
            throw outOfRange(field, value);
        }
        return value;
    }

    static int requireNonNegative(int value, String field) throws MalformedException {
        if (value < 0) {
            throw outOfRange(field, value);
        }
        return value;
    }

    static int requirePositive(int value, String field) throws MalformedException {
        if (value <= 0) {
            throw outOfRange(field, value);
        }
        return value;
    }

    static String requireNonEmpty(String value, String field) throws MalformedException {
        if (value.isEmpty()) {
            throw missing(field);
        }
        return value;
    }

    static void requirePresent(boolean present, String field) throws MalformedException {
        if (!present) {
            throw missing(field);
        }
    }

    private static MalformedException outOfRange(String field, long value) {
        return new MalformedException(
                ProtocolError.Kind.OUT_OF_RANGE, field + " is out of range: " + value);
    }
}
