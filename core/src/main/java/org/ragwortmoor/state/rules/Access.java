package org.ragwortmoor.state.rules;

import org.ragwortmoor.state.endpoint.Operation;

/** The kind of access of a session to a record. */
public enum Access {
    /** Reads the record. */
    READ,
    /** Changes the record. */
    WRITE;

    /** Returns the access that {@code operation} requires. */
    public static Access of(Operation operation) {
        return operation.writes() ? WRITE : READ;
    }
}
