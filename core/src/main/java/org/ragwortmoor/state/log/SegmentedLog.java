package org.ragwortmoor.state.log;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Appends entries to segment files that are named after their first index. */
final class SegmentedLog {
    static final String PREFIX = "log-";

    private final Storage storage;
    private final long segmentBytes;
    private final List<Segment> segments;
    private boolean dirty;
    private boolean folderDirty;

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
            throw StorageException.of(StorageErrorKind.DAMAGED_LOG, file, 0, "no segment name");
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
                active = active(entry.index());
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
            dirty = true;
        }
    }

    /** Only the last segment may have a torn tail, so a full one is synced before the next. */
    private Segment active(long nextIndex) throws StorageException {
        Segment last = segments.isEmpty() ? null : segments.get(segments.size() - 1);
        if (last != null && last.size < segmentBytes) {
            return last;
        }
        sync();
        Segment created = new Segment(nextIndex);
        segments.add(created);
        folderDirty = true;
        return created;
    }

    void sync() throws StorageException {
        if (dirty) {
            storage.sync(segments.get(segments.size() - 1).file);
            dirty = false;
        }
        if (folderDirty) {
            storage.syncFolder();
            folderDirty = false;
        }
    }

    /** Removes all entries behind {@code index}; a crash leaves a prefix of the log. */
    void truncateAfter(long index) throws StorageException {
        while (!segments.isEmpty() && segments.get(segments.size() - 1).first > index) {
            dropLast();
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

    /** Removes the whole log from its end, so that a crash leaves no suffix behind a gap. */
    void dropAll() throws StorageException {
        while (!segments.isEmpty()) {
            dropLast();
        }
    }

    /** Removes segments that contain no entry behind {@code index}. */
    void dropThrough(long index) throws StorageException {
        while (!segments.isEmpty() && segments.get(0).last() <= index) {
            storage.delete(segments.remove(0).file);
            folderDirty = true;
        }
        dirty = dirty && !segments.isEmpty();
        sync();
    }

    private void dropLast() throws StorageException {
        storage.delete(segments.remove(segments.size() - 1).file);
        storage.syncFolder();
        // Earlier segments were synced before this one was created.
        dirty = false;
    }
}
