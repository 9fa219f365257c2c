package org.ragwortmoor.state.rules;

import org.ragwortmoor.state.endpoint.Operation;

/** What a session does with a record. */
public enum Access {
    /** Reads the record. */
    READ,
    /** Changes the record. */
    WRITE;

    /** Returns the access that {@code operation} needs. */
    public static Access of(Operation operation) {
        return operation.writes() ? WRITE : READ;
    }
}
