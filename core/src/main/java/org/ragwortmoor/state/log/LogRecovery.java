package org.ragwortmoor.state.log;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the segments after a start.
 *
 * <p>A damaged record at the very end of the last segment is a torn tail and is cut, if the sync
 * mark shows that nothing behind it was acknowledged. All checks run before the first change, so a
 * refused start leaves the files as they were.
 */
final class LogRecovery {
    private final Storage storage;
    private final long snapshotIndex;
    private final long snapshotTerm;
    private final List<SegmentedLog.Segment> segments = new ArrayList<>();
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<String> notices = new ArrayList<>();
    private boolean torn;
    private long nextIndex = -1;
    private long lastTerm;
    private long termAtSnapshot = -1;

    LogRecovery(Storage storage, long snapshotIndex, long snapshotTerm) {
        this.storage = storage;
        this.snapshotIndex = snapshotIndex;
        this.snapshotTerm = snapshotTerm;
    }

    /** Reads and checks all segments and changes nothing. */
    void read() throws StorageException {
        List<String> files =
                storage.list().stream()
                        .filter(file -> file.startsWith(SegmentedLog.PREFIX))
                        .sorted()
                        .toList();
        for (int i = 0; i < files.size(); i++) {
            readSegment(files.get(i), i == files.size() - 1);
        }
        discardReplaced();
    }

    /** Refuses a log that ends before entries that were acknowledged. */
    void checkMark(long mark) throws StorageException {
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

    /** Cuts the torn tail, syncs what was read and removes segments that a snapshot replaced. */
    SegmentedLog repair(long segmentBytes) throws StorageException {
        SegmentedLog log = new SegmentedLog(storage, segmentBytes, segments);
        if (entries.isEmpty()) {
            log.dropAll();
            return log;
        }
        SegmentedLog.Segment last = segments.get(segments.size() - 1);
        if (torn) {
            storage.truncate(last.file, last.size);
        }
        // A crash of the process alone can leave entries that were never synced.
        storage.sync(last.file);
        storage.syncFolder();
        return log;
    }

    List<LogEntry> entries() {
        return entries;
    }

    List<String> notices() {
        return notices;
    }

    long lastIndex() {
        return entries.isEmpty() ? snapshotIndex : entries.get(entries.size() - 1).index();
    }

    private void readSegment(String file, boolean isLast) throws StorageException {
        SegmentedLog.Segment segment = new SegmentedLog.Segment(SegmentedLog.firstIndexOf(file));
        checkContinues(segment);
        RecordCodec.Scan scan = RecordCodec.scan(storage.read(file));
        if (scan.damaged() && (!isLast || scan.validBehind())) {
            throw StorageException.of(
                    StorageErrorKind.DAMAGED_LOG,
                    file,
                    scan.validEnd(),
                    "valid records or segments follow");
        }
        for (RecordCodec.Found found : scan.records()) {
            readEntry(segment, found);
        }
        segment.size = scan.validEnd();
        segments.add(segment);
        if (scan.damaged()) {
            torn = true;
            notices.add("cut the torn tail of " + file + " at offset " + scan.validEnd());
        }
    }

    private void checkContinues(SegmentedLog.Segment segment) throws StorageException {
        boolean gap =
                nextIndex < 0 ? segment.first > snapshotIndex + 1 : segment.first != nextIndex;
        if (gap) {
            long expected = nextIndex < 0 ? snapshotIndex + 1 : nextIndex;
            throw StorageException.of(
                    StorageErrorKind.MISSING_SEGMENT,
                    segment.file,
                    0,
                    "expected a segment with index " + expected);
        }
        nextIndex = segment.first;
    }

    private void readEntry(SegmentedLog.Segment segment, RecordCodec.Found found)
            throws StorageException {
        LogEntry entry;
        try {
            entry = StorageCodec.decodeEntry(found.payload());
        } catch (InvalidProtocolBufferException e) {
            throw damaged(segment, found, "no log entry");
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
     * An installed snapshot replaces a log that ends before it or disagrees with it; a crash may
     * have come before the old segments were deleted.
     */
    private void discardReplaced() {
        boolean disagrees = termAtSnapshot >= 0 && termAtSnapshot != snapshotTerm;
        if (disagrees) {
            entries.clear();
            notices.add("dropped segments that snapshot " + snapshotIndex + " replaced");
        }
    }

    private static StorageException damaged(
            SegmentedLog.Segment segment, RecordCodec.Found found, String detail) {
        return StorageException.of(
                StorageErrorKind.DAMAGED_LOG, segment.file, found.offset(), detail);
    }
}
