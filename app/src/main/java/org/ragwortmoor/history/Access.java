package org.ragwortmoor.history;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One operation of a request.
 *
 * @param op operation
 * @param key key of the record
 * @param value value that a put writes; null for other operations
 * @param delta number that an increment adds; 0 for other operations
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Access(Op op, String key, String value, long delta) {
    /** Operations. */
    public enum Op {
        /** Reads a record. */
        GET,
        /** Writes a record. */
        PUT,
        /** Removes a record. */
        DELETE,
        /** Adds to a record. */
        INCREMENT
    }

    /** Returns a read of a record. */
    public static Access get(String key) {
        return new Access(Op.GET, key, null, 0);
    }

    /** Returns a write; the checks need each value to be written by one request only. */
    public static Access put(String key, String value) {
        return new Access(Op.PUT, key, value, 0);
    }

    /** Returns an increment. */
    public static Access increment(String key, long delta) {
        return new Access(Op.INCREMENT, key, null, delta);
    }

    /** Returns a removal. */
    public static Access delete(String key) {
        return new Access(Op.DELETE, key, null, 0);
    }

    /** Returns whether the operation changes the record. */
    public boolean writes() {
        return op != Op.GET;
    }
}
