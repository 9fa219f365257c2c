package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * Replaces and reads whole files. A file is replaced atomically: a temporary file is written,
 * synced and renamed, and then the folder is synced.
 */
final class AtomicFile {
    static final String TEMPORARY_SUFFIX = ".tmp";

    private AtomicFile() {}

    static void replace(Storage storage, String file, List<ByteString> records)
            throws StorageException {
        String temporary = file + TEMPORARY_SUFFIX;
        storage.delete(temporary);
        for (ByteString record : records) {
            storage.append(temporary, RecordCodec.frame(record));
        }
        storage.sync(temporary);
        storage.rename(temporary, file);
        storage.syncFolder();
    }

    /** Reads a file that contains exactly {@code count} records. */
    static List<ByteString> read(Storage storage, String file, int count, StorageErrorKind damage)
            throws StorageException {
        RecordCodec.Scan scan = RecordCodec.scan(storage.read(file));
        if (scan.damaged() || scan.records().size() != count) {
            throw StorageException.of(
                    damage,
                    file,
                    scan.validEnd(),
                    scan.records().size() + " valid records instead of " + count);
        }
        return scan.records().stream().map(RecordCodec.StoredRecord::payload).toList();
    }
}
