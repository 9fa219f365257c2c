package org.ragwortmoor.standin;

import com.google.protobuf.CodedOutputStream;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * One entry of an endpoint's log.
 *
 * @param position its place in the log
 * @param content what it does
 */
public record LogEntry(Position position, Content content) {
    /** Upper bound of the encoding overhead of an entry, change or record, in bytes. */
    private static final int OVERHEAD_BYTES = 32;

    /** What an entry does. */
    public sealed interface Content {}

    /** The first entry of a term. */
    public record TermStarted() implements Content {}

    /**
     * A committed write.
     *
     * @param identity identity under which the outcome is recorded
     * @param changes changed records
     * @param results what its reads returned, so that a second execution gets the same answer
     */
    public record Written(WriteIdentity identity, List<Change> changes, List<ReadRecord> results)
            implements Content {
        /** Copies the lists. */
        public Written {
            changes = List.copyOf(changes);
            results = List.copyOf(results);
        }
    }

    /** A cancellation mark for all attempts up to the one in {@code identity}. */
    public record Cancelled(WriteIdentity identity) implements Content {}

    /** Returns an upper bound of the encoded size in bytes. */
    public int sizeBound() {
        int size = 2 * OVERHEAD_BYTES;
        if (content instanceof Written written) {
            size += size(written.identity().key());
            size += changesSize(written.changes()) + recordsSize(written.results());
        } else if (content instanceof Cancelled cancelled) {
            size += size(cancelled.identity().key());
        }
        return size;
    }

    /** Returns an upper bound of the encoded size of changes in bytes. */
    static int changesSize(Iterable<Change> changes) {
        int size = 0;
        for (Change change : changes) {
            size +=
                    OVERHEAD_BYTES
                            + size(change.key())
                            + change.value().map(LogEntry::size).getOrElse(0);
        }
        return size;
    }

    /** Returns an upper bound of the encoded size of records in bytes. */
    static int recordsSize(Iterable<ReadRecord> records) {
        int size = 0;
        for (ReadRecord record : records) {
            size +=
                    OVERHEAD_BYTES
                            + size(record.key())
                            + record.value().map(LogEntry::size).getOrElse(0);
        }
        return size;
    }

    private static int size(String text) {
        return CodedOutputStream.computeStringSizeNoTag(text);
    }
}
