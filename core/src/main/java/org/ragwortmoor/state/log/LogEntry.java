package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import org.ragwortmoor.state.Position;

/**
 * An entry of the replicated log.
 *
 * @param term term of the leader that created the entry
 * @param index index in the log, starting at 1
 * @param kind what the payload contains
 * @param payload command or encoded configuration
 */
public record LogEntry(long term, long index, EntryKind kind, ByteString payload) {
    /** Returns the position of this entry. */
    public Position position() {
        return new Position(term, index);
    }
}
