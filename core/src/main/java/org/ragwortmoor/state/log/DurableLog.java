package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.function.LongSupplier;
import org.ragwortmoor.state.wire.IdentityRecord;
import org.ragwortmoor.state.wire.VoteRecord;

/**
 * The durable state of a control process: identity, vote, log and snapshot.
 *
 * <p>After a write has failed, the content of the file is unknown, so the log refuses all further
 * writes until a restart has read the file again.
 */
public final class DurableLog implements AutoCloseable {
    private static final String IDENTITY_FILE = "identity";
    private static final String VOTE_FILE = "vote";
    private static final int FORMAT = 1;

    private final Storage storage;
    private final SegmentedLog segments;
    private final SyncMark mark;
    private long lastIndex;
    private boolean usable = true;

    private DurableLog(Storage storage, SegmentedLog segments, SyncMark mark, long lastIndex) {
        this.storage = storage;
        this.segments = segments;
        this.mark = mark;
        this.lastIndex = lastIndex;
    }

    /**
     * An opened log and the state recovered from it.
     *
     * @param log log that accepts writes
     * @param recovered content of the data folder when it was opened
     */
    public record Opened(DurableLog log, Recovered recovered) {}

    /**
     * Opens the data folder; an empty folder is initialized.
     *
     * @param node node id from the settings
     * @param incarnations source of random incarnations for a new data folder
     * @return the log, or an error that names the file, the offset and the remedy
     */
    public static Either<StorageError, Opened> open(
            Storage storage, String node, LongSupplier incarnations, LogSettings settings) {
        try {
            for (String file : storage.list()) {
                if (file.endsWith(AtomicFile.TEMPORARY_SUFFIX)) {
                    storage.delete(file);
                }
            }
            if (!storage.list().contains(IDENTITY_FILE)) {
                initialize(storage, node, incarnations);
            }
            return Either.right(recover(storage, node, settings));
        } catch (StorageException e) {
            return Either.left(e.error());
        }
    }

    /**
     * Initializes an empty data folder. The identity is written last, so a folder without one has
     * never been used by a running node.
     */
    private static void initialize(Storage storage, String node, LongSupplier incarnations)
            throws StorageException {
        boolean used = storage.list().stream().anyMatch(f -> f.startsWith(SegmentedLog.PREFIX));
        if (used || SnapshotFile.any(storage)) {
            throw StorageException.of(
                    StorageErrorKind.MISSING_FILE,
                    IDENTITY_FILE,
                    0,
                    "the folder contains a log or snapshot");
        }
        long incarnation = 0;
        while (incarnation == 0) {
            incarnation = incarnations.getAsLong();
        }
        writeVote(storage, Vote.NONE);
        SyncMark.create(storage);
        ByteString identity =
                IdentityRecord.newBuilder()
                        .setId(StorageCodec.encode(new MemberId(node, incarnation)))
                        .setFormat(FORMAT)
                        .build()
                        .toByteString();
        AtomicFile.replace(storage, IDENTITY_FILE, List.of(identity));
    }

    private static Opened recover(Storage storage, String node, LogSettings settings)
            throws StorageException {
        MemberId identity = readIdentity(storage, node);
        Vote vote = readVote(storage);
        SyncMark mark = SyncMark.read(storage);
        Option<Snapshot> snapshot = SnapshotFile.readNewest(storage);
        long snapshotIndex = snapshot.map(Snapshot::index).getOrElse(0L);
        LogRecovery recovery =
                new LogRecovery(storage, snapshotIndex, snapshot.map(Snapshot::term).getOrElse(0L));
        recovery.read();
        recovery.checkSyncMark(mark.index());
        SegmentedLog segments = recovery.repair(settings.segmentBytes());
        SnapshotFile.deleteOlder(storage, snapshotIndex);
        mark.rewrite();
        mark.write(recovery.lastIndex());
        Recovered recovered =
                new Recovered(identity, vote, snapshot, recovery.entries(), recovery.repairs());
        return new Opened(new DurableLog(storage, segments, mark, recovery.lastIndex()), recovered);
    }

    /**
     * Appends entries; they are durable only after {@link #sync}.
     *
     * @param entries entries that continue the log
     * @return the last index, or the error after which the log refuses writes
     */
    public Either<StorageError, Long> append(List<LogEntry> entries) {
        return writeGuarded(
                () -> {
                    segments.append(entries);
                    lastIndex += entries.size();
                });
    }

    /**
     * Makes all appended entries durable.
     *
     * @return the last durable index, or the error that leaves it unknown
     */
    public Either<StorageError, Long> sync() {
        return writeGuarded(
                () -> {
                    segments.sync();
                    mark.write(lastIndex);
                });
    }

    /**
     * Durably removes the entries after {@code index}.
     *
     * @return the last index, or the error that made the log unusable
     */
    public Either<StorageError, Long> truncateAfter(long index) {
        return writeGuarded(
                () -> {
                    if (index < mark.index()) {
                        mark.write(index);
                    }
                    segments.truncateAfter(index);
                    lastIndex = Math.min(lastIndex, index);
                });
    }

    /**
     * Durably saves the vote.
     *
     * @return the last index, or the error after which the vote may be lost
     */
    public Either<StorageError, Long> saveVote(Vote vote) {
        return writeGuarded(() -> writeVote(storage, vote));
    }

    /**
     * Durably saves a snapshot and deletes older snapshots and the segments that it covers.
     *
     * @param resetLog whether the snapshot replaces the whole log; otherwise entries after its
     *     index are kept
     * @return the last index, or the error after which the snapshot may be lost
     */
    public Either<StorageError, Long> saveSnapshot(Snapshot snapshot, boolean resetLog) {
        return writeGuarded(
                () -> {
                    if (resetLog && snapshot.index() < mark.index()) {
                        mark.write(snapshot.index());
                    }
                    SnapshotFile.write(storage, snapshot);
                    if (resetLog) {
                        segments.deleteAllSegments();
                        lastIndex = snapshot.index();
                        mark.write(lastIndex);
                    } else {
                        segments.deleteSegmentsThrough(snapshot.index());
                    }
                });
    }

    @Override
    public void close() {
        usable = false;
        storage.close();
    }

    private interface WriteAction {
        void run() throws StorageException;
    }

    private Either<StorageError, Long> writeGuarded(WriteAction action) {
        if (!usable) {
            return Either.left(new StorageError(StorageErrorKind.UNUSABLE, ".", 0, ""));
        }
        try {
            action.run();
            return Either.right(lastIndex);
        } catch (StorageException e) {
            usable = false;
            return Either.left(e.error());
        }
    }

    private static void writeVote(Storage storage, Vote vote) throws StorageException {
        ByteString record = StorageCodec.encode(vote).toByteString();
        AtomicFile.replace(storage, VOTE_FILE, List.of(record));
    }

    private static Vote readVote(Storage storage) throws StorageException {
        StorageErrorKind damage = StorageErrorKind.DAMAGED_VOTE;
        ByteString record = AtomicFile.read(storage, VOTE_FILE, 1, damage).get(0);
        try {
            return StorageCodec.decode(VoteRecord.parseFrom(record));
        } catch (InvalidProtocolBufferException e) {
            throw StorageException.of(
                    damage, VOTE_FILE, 0, "the file does not contain a vote record");
        }
    }

    private static MemberId readIdentity(Storage storage, String node) throws StorageException {
        StorageErrorKind damage = StorageErrorKind.DAMAGED_IDENTITY;
        ByteString record = AtomicFile.read(storage, IDENTITY_FILE, 1, damage).get(0);
        IdentityRecord identity;
        try {
            identity = IdentityRecord.parseFrom(record);
        } catch (InvalidProtocolBufferException e) {
            throw StorageException.of(
                    damage, IDENTITY_FILE, 0, "the file does not contain an identity record");
        }
        if (identity.getFormat() != FORMAT) {
            throw StorageException.of(
                    damage, IDENTITY_FILE, 0, "unknown format version " + identity.getFormat());
        }
        MemberId id = StorageCodec.decode(identity.getId());
        if (!id.node().equals(node)) {
            throw StorageException.of(
                    StorageErrorKind.FOREIGN_FOLDER,
                    IDENTITY_FILE,
                    0,
                    "created by node " + id.node());
        }
        return id;
    }
}
