package org.ragwortmoor.coordination.directory;

import org.ragwortmoor.state.Position;

/**
 * What a database server reports of its replication.
 *
 * @param primary whether the server leads its group
 * @param term newest term that the server knows
 * @param received last log position that the server has received
 * @param suspendedTerm term below which the server receives nothing from a primary; 0 if its
 *     replication is not suspended
 */
public record ServerStatus(boolean primary, long term, Position received, long suspendedTerm) {
    /** Returns whether the server receives nothing from the primary of its term. */
    public boolean suspended() {
        return suspendedTerm > term;
    }
}
