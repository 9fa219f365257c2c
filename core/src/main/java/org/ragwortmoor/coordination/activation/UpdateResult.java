package org.ragwortmoor.coordination.activation;

/**
 * What became of an update.
 *
 * @param kind whether the update was accepted
 * @param message reason and remedy of a refusal; otherwise empty
 */
public record UpdateResult(Kind kind, String message) {
    /** The outcomes of an update. */
    public enum Kind {
        /** A version became active or prepared. */
        CHANGED,
        /** The update confirms what the proxy has; the lease is extended. */
        CONFIRMED,
        /** The update is of an earlier leader or version than known; nothing changed. */
        STALE,
        /** The rules cannot be read or contradict known ones; nothing changed. */
        REFUSED
    }

    static UpdateResult of(Kind kind) {
        return new UpdateResult(kind, "");
    }
}
