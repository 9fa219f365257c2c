package org.ragwortmoor.state.log;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads, checks and repairs the log segments at startup.
 *
 * <p>A damaged record at the very end of the last segment is a torn tail. It is truncated if the
 * sync mark shows that no synced entry is lost with it. All checks run before the first change, so
 * a refused start leaves the files unmodified.
 */
final class LogRecovery {
    private final Storage storage;
    private final long snapshotIndex;
    private final long snapshotTerm;
    private final List<SegmentedLog.Segment> segments = new ArrayList<>();
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<String> repairs = new ArrayList<>();
    private boolean torn;
    private long nextIndex = -1;
    private long lastTerm;
    private long termAtSnapshot = -1;

    LogRecovery(Storage storage, long snapshotIndex, long snapshotTerm) {
        this.storage = storage;
        this.snapshotIndex = snapshotIndex;
        this.snapshotTerm = snapshotTerm;
    }

    /** Reads and checks all segments without modifying them. */
    void read() throws StorageException {
        List<String> files =
                storage.list().stream()
                        .filter(file -> file.startsWith(SegmentedLog.PREFIX))
                        .sorted()
                        .toList();
        for (int i = 0; i < files.size(); i++) {
            readSegment(files.get(i), i == files.size() - 1);
        }
        discardSupersededEntries();
    }

    /** Refuses a log that ends before the last synced index. */
    void checkSyncMark(long mark) throws StorageException {
        long end = Math.max(lastIndex(), snapshotIndex);
        if (end >= mark) {
            return;
        }
        boolean empty = segments.isEmpty();
        SegmentedLog.Segment last = empty ? null : segments.get(segments.size() - 1);
        throw StorageException.of(
                StorageErrorKind.LOST_SYNCED_ENTRIES,
                empty ? SegmentedLog.PREFIX + "*" : last.file,
                empty ? 0 : last.size,
                "the log ends at index " + end + ", but " + mark + " was synced");
    }

    /**
     * Truncates the torn tail, syncs the last segment and removes segments that a snapshot
     * replaced.
     */
    SegmentedLog repair(long segmentBytes) throws StorageException {
        SegmentedLog log = new SegmentedLog(storage, segmentBytes, segments);
        if (entries.isEmpty()) {
            log.deleteAllSegments();
            return log;
        }
        SegmentedLog.Segment last = segments.get(segments.size() - 1);
        if (torn) {
            storage.truncate(last.file, last.size);
        }
        // A crash of the process but not the VM can leave entries that were never synced.
        storage.sync(last.file);
        storage.syncFolder();
        return log;
    }

    List<LogEntry> entries() {
        return entries;
    }

    List<String> repairs() {
        return repairs;
    }

    long lastIndex() {
        return entries.isEmpty() ? snapshotIndex : entries.get(entries.size() - 1).index();
    }

    private void readSegment(String file, boolean isLast) throws StorageException {
        SegmentedLog.Segment segment = new SegmentedLog.Segment(SegmentedLog.firstIndexOf(file));
        checkContiguous(segment);
        RecordCodec.Scan scan = RecordCodec.scan(storage.read(file));
        if (scan.damaged() && (!isLast || scan.validRecordFollows())) {
            throw StorageException.of(
                    StorageErrorKind.DAMAGED_LOG,
                    file,
                    scan.validEnd(),
                    "valid records or segments follow the damaged record");
        }
        for (RecordCodec.StoredRecord found : scan.records()) {
            readEntry(segment, found);
        }
        segment.size = scan.validEnd();
        segments.add(segment);
        if (scan.damaged()) {
            torn = true;
            repairs.add("truncated the torn tail of " + file + " at offset " + scan.validEnd());
        }
    }

    private void checkContiguous(SegmentedLog.Segment segment) throws StorageException {
        boolean gap =
                nextIndex < 0 ? segment.first > snapshotIndex + 1 : segment.first != nextIndex;
        if (gap) {
            long expected = nextIndex < 0 ? snapshotIndex + 1 : nextIndex;
            throw StorageException.of(
                    StorageErrorKind.MISSING_SEGMENT,
                    segment.file,
                    0,
                    "expected a segment that starts at index " + expected);
        }
        nextIndex = segment.first;
    }

    private void readEntry(SegmentedLog.Segment segment, RecordCodec.StoredRecord found)
            throws StorageException {
        LogEntry entry;
        try {
            entry = StorageCodec.decodeEntry(found.payload());
        } catch (InvalidProtocolBufferException e) {
            throw damaged(segment, found, "the record is not a log entry");
        }
        if (entry.index() != nextIndex || entry.term() < lastTerm) {
            throw damaged(segment, found, "entry " + entry.position() + " is out of order");
        }
        segment.offsets.add(found.offset());
        nextIndex++;
        lastTerm = entry.term();
        if (entry.index() == snapshotIndex) {
            termAtSnapshot = entry.term();
        }
        if (entry.index() > snapshotIndex) {
            entries.add(entry);
        }
    }

    /**
     * Discards the entries if the log has another term than the snapshot at the snapshot's index.
     * The installed snapshot has then replaced the log, and a crash prevented the deletion of the
     * old segments.
     */
    private void discardSupersededEntries() {
        boolean disagrees = termAtSnapshot >= 0 && termAtSnapshot != snapshotTerm;
        if (disagrees) {
            entries.clear();
            repairs.add("removed segments that snapshot " + snapshotIndex + " replaced");
        }
    }

    private static StorageException damaged(
            SegmentedLog.Segment segment, RecordCodec.StoredRecord found, String detail) {
        return StorageException.of(
                StorageErrorKind.DAMAGED_LOG, segment.file, found.offset(), detail);
    }
}
