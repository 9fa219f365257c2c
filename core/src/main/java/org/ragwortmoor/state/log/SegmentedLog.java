package org.ragwortmoor.state.log;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** A log in segment files, each named after the index of its first entry. */
final class SegmentedLog {
    static final String PREFIX = "log-";

    private final Storage storage;
    private final long segmentBytes;
    private final List<Segment> segments;
    private boolean unsynced;
    private boolean folderUnsynced;

    SegmentedLog(Storage storage, long segmentBytes, List<Segment> segments) {
        this.storage = storage;
        this.segmentBytes = segmentBytes;
        this.segments = new ArrayList<>(segments);
    }

    /** A segment file with the offset of each of its entries. */
    static final class Segment {
        final String file;
        final long first;
        final List<Integer> offsets = new ArrayList<>();
        int size;

        Segment(long first) {
            this.first = first;
            this.file = PREFIX + String.format("%020d", first);
        }

        long last() {
            return first + offsets.size() - 1;
        }
    }

    static long firstIndexOf(String file) throws StorageException {
        try {
            return Long.parseLong(file.substring(PREFIX.length()));
        } catch (NumberFormatException e) {
            throw StorageException.of(
                    StorageErrorKind.DAMAGED_LOG,
                    file,
                    0,
                    "the file name does not end with an index");
        }
    }

    /** Appends entries without syncing them. */
    void append(List<LogEntry> entries) throws StorageException {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        Segment active = null;
        for (LogEntry entry : entries) {
            byte[] framed = RecordCodec.frame(StorageCodec.encode(entry).toByteString());
            if (active == null || active.size >= segmentBytes) {
                flush(active, batch);
                active = activeSegment(entry.index());
            }
            active.offsets.add(active.size);
            active.size += framed.length;
            batch.writeBytes(framed);
        }
        flush(active, batch);
    }

    private void flush(Segment segment, ByteArrayOutputStream batch) throws StorageException {
        if (batch.size() > 0) {
            storage.append(segment.file, batch.toByteArray());
            batch.reset();
            unsynced = true;
        }
    }

    /**
     * Returns the segment to append to. A full segment is synced before the next one is created, so
     * that only the last segment can have a torn tail.
     */
    private Segment activeSegment(long nextIndex) throws StorageException {
        Segment last = segments.isEmpty() ? null : segments.get(segments.size() - 1);
        if (last != null && last.size < segmentBytes) {
            return last;
        }
        sync();
        Segment created = new Segment(nextIndex);
        segments.add(created);
        folderUnsynced = true;
        return created;
    }

    void sync() throws StorageException {
        if (unsynced) {
            storage.sync(segments.get(segments.size() - 1).file);
            unsynced = false;
        }
        if (folderUnsynced) {
            storage.syncFolder();
            folderUnsynced = false;
        }
    }

    /** Removes all entries after {@code index}; a crash in between leaves a prefix of the log. */
    void truncateAfter(long index) throws StorageException {
        while (!segments.isEmpty() && segments.get(segments.size() - 1).first > index) {
            deleteLastSegment();
        }
        if (segments.isEmpty()) {
            return;
        }
        Segment last = segments.get(segments.size() - 1);
        int kept = (int) (index - last.first + 1);
        if (kept < last.offsets.size()) {
            last.size = last.offsets.get(kept);
            last.offsets.subList(kept, last.offsets.size()).clear();
            storage.truncate(last.file, last.size);
            storage.sync(last.file);
        }
    }

    /**
     * Deletes all segments from the last to the first, so that a crash leaves a prefix of the log.
     */
    void deleteAllSegments() throws StorageException {
        while (!segments.isEmpty()) {
            deleteLastSegment();
        }
    }

    /** Deletes the segments that contain no entry after {@code index}. */
    void deleteSegmentsThrough(long index) throws StorageException {
        while (!segments.isEmpty() && segments.get(0).last() <= index) {
            storage.delete(segments.remove(0).file);
            folderUnsynced = true;
        }
        unsynced = unsynced && !segments.isEmpty();
        sync();
    }

    private void deleteLastSegment() throws StorageException {
        storage.delete(segments.remove(segments.size() - 1).file);
        storage.syncFolder();
        // Earlier segments were synced before the deleted one was created.
        unsynced = false;
    }
}
