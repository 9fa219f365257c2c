package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import org.ragwortmoor.state.Position;

/**
 * An entry of the replicated log.
 *
 * @param term term of the leader that created the entry
 * @param index position in the log, from 1
 * @param kind what the payload contains
 * @param payload command or encoded configuration
 */
public record LogEntry(long term, long index, EntryKind kind, ByteString payload) {
    /** Returns term and index. */
    public Position position() {
        return new Position(term, index);
    }
}
