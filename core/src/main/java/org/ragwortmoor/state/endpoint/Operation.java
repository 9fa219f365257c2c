package org.ragwortmoor.state.endpoint;

/** One operation on the records of a group. */
public sealed interface Operation {
    /** Reads one record. */
    record Get(String key) implements Operation {}

    /** Creates or replaces one record. */
    record Put(String key, String value) implements Operation {}

    /** Removes one record; succeeds if there is no such record. */
    record Delete(String key) implements Operation {}

    /** Adds {@code delta} to a decimal number; a missing record counts as 0. Not idempotent. */
    record Increment(String key, long delta) implements Operation {}

    /**
     * Reads records in key order.
     *
     * @param prefix prefix of the keys
     * @param after only greater keys are returned; empty to start at the first key
     * @param limit maximum number of records to return
     */
    record Scan(String prefix, String after, int limit) implements Operation {}

    /** Returns whether the operation changes records. */
    default boolean writes() {
        return !(this instanceof Get) && !(this instanceof Scan);
    }

    /** Returns the key of the operation or, for a scan, the prefix. */
    default String target() {
        return switch (kind()) {
            case GET -> ((Get) this).key();
            case PUT -> ((Put) this).key();
            case DELETE -> ((Delete) this).key();
            case INCREMENT -> ((Increment) this).key();
            case SCAN -> ((Scan) this).prefix();
        };
    }

    /** Returns the kind of this operation. */
    default Kind kind() {
        if (this instanceof Get) {
            return Kind.GET;
        }
        if (this instanceof Put) {
            return Kind.PUT;
        }
        if (this instanceof Delete) {
            return Kind.DELETE;
        }
        return this instanceof Increment ? Kind.INCREMENT : Kind.SCAN;
    }

    /** The kinds of operations. */
    enum Kind {
        /** {@link Get}. */
        GET,
        /** {@link Put}. */
        PUT,
        /** {@link Delete}. */
        DELETE,
        /** {@link Increment}. */
        INCREMENT,
        /** {@link Scan}. */
        SCAN
    }
}
