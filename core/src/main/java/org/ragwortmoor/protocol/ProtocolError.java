package org.ragwortmoor.protocol;

/**
 * The reason why data from another process was rejected.
 *
 * @param kind kind of the error
 * @param message message that names the field or size, and the remedy if there is one
 */
public record ProtocolError(Kind kind, String message) {
    /** The kinds of protocol errors. */
    public enum Kind {
        /** The data is not a protobuf message of the expected type. */
        MALFORMED,
        /** A required field or alternative is missing or unknown. */
        MISSING,
        /** A field has a value outside its range. */
        OUT_OF_RANGE,
        /** The frame is larger than the limit. */
        TOO_LARGE,
        /** The message is valid but not allowed in the current state of the connection. */
        UNEXPECTED
    }

    @Override
    public String toString() {
        return kind + ": " + message;
    }
}
