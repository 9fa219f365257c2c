package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.ragwortmoor.state.wire.SyncMarkRecord;

/**
 * Stores the last synced log index in a separate file.
 *
 * <p>From the log files alone, a torn tail cannot be distinguished from damage to the last synced
 * records. The mark is synced after the log and before anything depends on the entries, so a log
 * that ends before the mark has lost acknowledged entries. The mark is lowered before the log is
 * truncated.
 */
final class SyncMark {
    static final String FILE = "synced";

    /** File size at which the file is rewritten, to keep recovery short. */
    private static final int REWRITE_BYTES = 64 << 10;

    private final Storage storage;
    private long index;
    private long size;

    private SyncMark(Storage storage, long index, long size) {
        this.storage = storage;
        this.index = index;
        this.size = size;
    }

    static SyncMark create(Storage storage) throws StorageException {
        SyncMark mark = new SyncMark(storage, 0, 0);
        mark.rewrite();
        return mark;
    }

    /** Reads the mark without changing the file. */
    static SyncMark read(Storage storage) throws StorageException {
        RecordCodec.Scan scan = RecordCodec.scan(storage.read(FILE));
        if (scan.validRecordFollows() || scan.records().isEmpty()) {
            throw StorageException.of(
                    StorageErrorKind.DAMAGED_SYNC_MARK, FILE, scan.validEnd(), "");
        }
        RecordCodec.StoredRecord last = scan.records().get(scan.records().size() - 1);
        try {
            long index = SyncMarkRecord.parseFrom(last.payload()).getIndex();
            return new SyncMark(storage, index, scan.validEnd());
        } catch (InvalidProtocolBufferException e) {
            throw StorageException.of(
                    StorageErrorKind.DAMAGED_SYNC_MARK,
                    FILE,
                    last.offset(),
                    "the record is not a sync mark");
        }
    }

    long index() {
        return index;
    }

    void write(long newIndex) throws StorageException {
        if (newIndex == index) {
            return;
        }
        index = newIndex;
        if (size >= REWRITE_BYTES) {
            rewrite();
            return;
        }
        byte[] framed = RecordCodec.frame(payload());
        storage.append(FILE, framed);
        storage.sync(FILE);
        size += framed.length;
    }

    /**
     * Replaces the file by a single record. This removes a torn tail, so that later appends follow
     * a valid record.
     */
    void rewrite() throws StorageException {
        AtomicFile.replace(storage, FILE, List.of(payload()));
        size = (long) RecordCodec.HEADER_BYTES + payload().size();
    }

    private ByteString payload() {
        return SyncMarkRecord.newBuilder().setIndex(index).build().toByteString();
    }
}
