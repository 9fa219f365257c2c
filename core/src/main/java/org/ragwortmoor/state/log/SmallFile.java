package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import java.util.List;

/**
 * Replaces a whole file atomically: a temporary file is written and synced, then renamed, then the
 * folder is synced.
 */
final class SmallFile {
    static final String TEMPORARY_SUFFIX = ".tmp";

    private SmallFile() {}

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
                    damage, file, scan.validEnd(), scan.records().size() + " valid records");
        }
        return scan.records().stream().map(RecordCodec.Found::payload).toList();
    }
}
