package org.ragwortmoor.coordination.activation;

/**
 * Result of applying an update.
 *
 * @param kind whether the update was accepted
 * @param message reason, and remedy if there is one, if the update was not accepted; otherwise
 *     empty
 */
public record UpdateResult(Kind kind, String message) {
    /** Outcome of an update. */
    public enum Kind {
        /** The active or the prepared version has changed. */
        CHANGED,
        /** The versions are unchanged; the lease is extended. */
        CONFIRMED,
        /** The update has an older leader term or rules version than known and was ignored. */
        STALE,
        /**
         * The rules cannot be parsed, or differ from a known text of the same version; the update
         * was ignored.
         */
        REFUSED
    }

    static UpdateResult of(Kind kind) {
        return new UpdateResult(kind, "");
    }
}
