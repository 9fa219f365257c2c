package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.wire.SnapshotHeaderRecord;

/** Reads and writes snapshot files: a header record followed by chunks of the state. */
final class SnapshotFile {
    static final String PREFIX = "snapshot-";
    private static final int CHUNK_BYTES = 1 << 20;

    private SnapshotFile() {}

    static void write(Storage storage, Snapshot snapshot) throws StorageException {
        ByteString data = snapshot.data();
        List<ByteString> records = new ArrayList<>();
        records.add(
                SnapshotHeaderRecord.newBuilder()
                        .setIndex(snapshot.index())
                        .setTerm(snapshot.term())
                        .setConfiguration(StorageCodec.encode(snapshot.configuration()))
                        .setSize(data.size())
                        .build()
                        .toByteString());
        for (int offset = 0; offset < data.size(); offset += CHUNK_BYTES) {
            int end = Math.min(data.size(), offset + CHUNK_BYTES);
            records.add(data.substring(offset, end));
        }
        AtomicFile.replace(storage, name(snapshot.index()), records);
        deleteOlder(storage, snapshot.index());
    }

    /**
     * Reads the newest snapshot. If it is damaged, there is no fallback to an older one, which
     * would silently revert the state.
     */
    static Option<Snapshot> readNewest(Storage storage) throws StorageException {
        List<String> files = files(storage);
        if (files.isEmpty()) {
            return Option.none();
        }
        return Option.some(read(storage, files.get(files.size() - 1)));
    }

    static boolean any(Storage storage) throws StorageException {
        return !files(storage).isEmpty();
    }

    static void deleteOlder(Storage storage, long index) throws StorageException {
        for (String file : files(storage)) {
            if (file.compareTo(name(index)) < 0) {
                storage.delete(file);
            }
        }
    }

    private static Snapshot read(Storage storage, String file) throws StorageException {
        RecordCodec.Scan scan = RecordCodec.scan(storage.read(file));
        if (scan.damaged() || scan.records().isEmpty()) {
            throw damaged(file, scan.validEnd(), scan.records().size() + " valid records");
        }
        try {
            SnapshotHeaderRecord header =
                    SnapshotHeaderRecord.parseFrom(scan.records().get(0).payload());
            List<ByteString> chunks =
                    scan.records().stream().skip(1).map(RecordCodec.StoredRecord::payload).toList();
            ByteString data = ByteString.copyFrom(chunks);
            if (data.size() != header.getSize() || !file.equals(name(header.getIndex()))) {
                throw damaged(file, scan.validEnd(), data.size() + " bytes of " + header.getSize());
            }
            return new Snapshot(
                    header.getIndex(),
                    header.getTerm(),
                    StorageCodec.decode(header.getConfiguration()),
                    data);
        } catch (InvalidProtocolBufferException e) {
            throw damaged(file, 0, "the first record is not a snapshot header");
        }
    }

    private static StorageException damaged(String file, long offset, String detail) {
        return StorageException.of(StorageErrorKind.DAMAGED_SNAPSHOT, file, offset, detail);
    }

    private static List<String> files(Storage storage) throws StorageException {
        return storage.list().stream()
                .filter(file -> file.startsWith(PREFIX))
                .filter(file -> !file.endsWith(AtomicFile.TEMPORARY_SUFFIX))
                .sorted()
                .toList();
    }

    private static String name(long index) {
        return PREFIX + String.format("%020d", index);
    }
}
