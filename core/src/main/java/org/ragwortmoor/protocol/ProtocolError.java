package org.ragwortmoor.protocol;

/**
 * Why bytes that another process sent were not accepted.
 *
 * @param kind reason
 * @param message field or size concerned, and the remedy if there is one
 */
public record ProtocolError(Kind kind, String message) {
    /** The kinds of protocol errors. */
    public enum Kind {
        /** The bytes are no protobuf message of the expected type. */
        MALFORMED,
        /** A required field or alternative is missing or unknown. */
        MISSING,
        /** A field has a value outside its range. */
        OUT_OF_RANGE,
        /** The frame is larger than the limit. */
        TOO_LARGE,
        /** The message is valid but not allowed at this place. */
        UNEXPECTED
    }

    @Override
    public String toString() {
        return kind + ": " + message;
    }
}
