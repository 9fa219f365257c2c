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
 * <p>After the first failed write the log takes no further writes, because the state of the file is
 * unknown from then on; a restart reads it anew.
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
     * An opened log with what it contained.
     *
     * @param log takes writes from now on
     * @param recovered content at the start
     */
    public record Opened(DurableLog log, Recovered recovered) {}

    /**
     * Opens the data folder and initializes an empty one.
     *
     * @param node node id from the settings
     * @param incarnations source of random incarnations for a new folder
     * @return the log, or an error that names the file, the offset and the remedy
     */
    public static Either<StorageError, Opened> open(
            Storage storage, String node, LongSupplier incarnations, LogSettings settings) {
        try {
            for (String file : storage.list()) {
                if (file.endsWith(SmallFile.TEMPORARY_SUFFIX)) {
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

    /** The identity is written last: a folder without one has never taken part in anything. */
    private static void initialize(Storage storage, String node, LongSupplier incarnations)
            throws StorageException {
        boolean used = storage.list().stream().anyMatch(f -> f.startsWith(SegmentedLog.PREFIX));
        if (used || SnapshotFile.any(storage)) {
            throw StorageException.of(
                    StorageErrorKind.MISSING_FILE, IDENTITY_FILE, 0, "the folder holds a log");
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
        SmallFile.replace(storage, IDENTITY_FILE, List.of(identity));
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
        recovery.checkMark(mark.index());
        SegmentedLog segments = recovery.repair(settings.segmentBytes());
        SnapshotFile.deleteOlder(storage, snapshotIndex);
        mark.rewrite();
        mark.write(recovery.lastIndex());
        Recovered recovered =
                new Recovered(identity, vote, snapshot, recovery.entries(), recovery.notices());
        return new Opened(new DurableLog(storage, segments, mark, recovery.lastIndex()), recovered);
    }

    /**
     * Appends entries; they are durable only after {@link #sync}.
     *
     * @param entries entries that continue the log
     * @return the last index, or the reason why nothing more is written
     */
    public Either<StorageError, Long> append(List<LogEntry> entries) {
        return write(
                () -> {
                    segments.append(entries);
                    lastIndex += entries.size();
                });
    }

    /**
     * Makes all appended entries durable.
     *
     * @return the last durable index, or the reason why it is unknown
     */
    public Either<StorageError, Long> sync() {
        return write(
                () -> {
                    segments.sync();
                    mark.write(lastIndex);
                });
    }

    /**
     * Removes the entries behind {@code index} durably.
     *
     * @return the last index, or the reason why the log is unusable
     */
    public Either<StorageError, Long> truncateAfter(long index) {
        return write(
                () -> {
                    if (index < mark.index()) {
                        mark.write(index);
                    }
                    segments.truncateAfter(index);
                    lastIndex = Math.min(lastIndex, index);
                });
    }

    /**
     * Saves the vote durably.
     *
     * @return the last index, or the reason why the vote may be lost
     */
    public Either<StorageError, Long> saveVote(Vote vote) {
        return write(() -> writeVote(storage, vote));
    }

    /**
     * Saves a snapshot durably and deletes what it replaces.
     *
     * @param resetLog whether the snapshot replaces the whole log; otherwise entries behind its
     *     index stay
     * @return the last index, or the reason why the snapshot may be lost
     */
    public Either<StorageError, Long> saveSnapshot(Snapshot snapshot, boolean resetLog) {
        return write(
                () -> {
                    if (resetLog && snapshot.index() < mark.index()) {
                        mark.write(snapshot.index());
                    }
                    SnapshotFile.write(storage, snapshot);
                    if (resetLog) {
                        segments.dropAll();
                        lastIndex = snapshot.index();
                        mark.write(lastIndex);
                    } else {
                        segments.dropThrough(snapshot.index());
                    }
                });
    }

    @Override
    public void close() {
        usable = false;
        storage.close();
    }

    private interface Write {
        void run() throws StorageException;
    }

    private Either<StorageError, Long> write(Write action) {
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
        SmallFile.replace(storage, VOTE_FILE, List.of(record));
    }

    private static Vote readVote(Storage storage) throws StorageException {
        StorageErrorKind damage = StorageErrorKind.DAMAGED_VOTE;
        ByteString record = SmallFile.read(storage, VOTE_FILE, 1, damage).get(0);
        try {
            return StorageCodec.decode(VoteRecord.parseFrom(record));
        } catch (InvalidProtocolBufferException e) {
            throw StorageException.of(damage, VOTE_FILE, 0, "no vote");
        }
    }

    private static MemberId readIdentity(Storage storage, String node) throws StorageException {
        StorageErrorKind damage = StorageErrorKind.DAMAGED_IDENTITY;
        ByteString record = SmallFile.read(storage, IDENTITY_FILE, 1, damage).get(0);
        IdentityRecord identity;
        try {
            identity = IdentityRecord.parseFrom(record);
        } catch (InvalidProtocolBufferException e) {
            throw StorageException.of(damage, IDENTITY_FILE, 0, "no identity");
        }
        if (identity.getFormat() != FORMAT) {
            throw StorageException.of(
                    damage, IDENTITY_FILE, 0, "unknown format " + identity.getFormat());
        }
        MemberId id = StorageCodec.decode(identity.getId());
        if (!id.node().equals(node)) {
            throw StorageException.of(
                    StorageErrorKind.FOREIGN_FOLDER, IDENTITY_FILE, 0, "written by " + id.node());
        }
        return id;
    }
}
