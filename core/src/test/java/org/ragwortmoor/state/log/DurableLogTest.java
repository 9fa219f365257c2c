package org.ragwortmoor.state.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against loss of synced data, undetected damage and wrong truncation at startup. */
class DurableLogTest {
    private static final LogSettings SMALL_SEGMENTS = new LogSettings(200);
    private static final MemberId CANDIDATE = new MemberId("b", 9);

    /** Guards against silent loss of synced data if any byte is damaged or any file truncated. */
    @Test
    void singleDamagedByteOrTruncatedFileIsHarmlessOrRefused() throws StorageException {
        MemoryStorage intact = new MemoryStorage();
        List<LogEntry> synced = writeSample(intact);
        int refused = 0;
        int damages = 0;
        for (String file : intact.list()) {
            int size = intact.read(file).length;
            for (int offset = 0; offset < size; offset++) {
                for (int mask : new int[] {1, 0x80, 0xff, 0}) {
                    MemoryStorage damaged = intact.copy();
                    if (mask == 0) {
                        damaged.truncateDurably(file, offset);
                    } else {
                        damaged.flipBits(file, offset, mask);
                    }
                    damages++;
                    refused += assertExactOrRefused(damaged, synced) ? 0 : 1;
                }
            }
        }
        assertThat(damages).isGreaterThan(2000);
        assertThat(refused).as("a test that refuses nothing checks nothing").isGreaterThan(1000);
    }

    /** Guards against opening a folder in which a required file is missing. */
    @Test
    void eachMissingFileIsHarmlessOrRefused() throws StorageException {
        MemoryStorage intact = new MemoryStorage();
        List<LogEntry> synced = writeSample(intact);
        for (String file : intact.list()) {
            MemoryStorage damaged = intact.copy();
            damaged.delete(file);
            assertThat(assertExactOrRefused(damaged, synced)).as(file).isFalse();
        }
    }

    /** Guards against undetected damage with contents other than those of the fixed sample. */
    @Property(tries = 300, seed = "42")
    void randomDamageIsHarmlessOrRefused(@ForAll long seed) throws StorageException {
        SplittableRandom random = new SplittableRandom(seed);
        MemoryStorage storage = new MemoryStorage();
        DurableLog log = open(storage).log();
        List<LogEntry> synced = entries(1, 1 + random.nextInt(12), random);
        assertThat(log.append(synced).isRight() && log.sync().isRight()).isTrue();
        assertThat(log.saveVote(new Vote(3, Option.some(CANDIDATE))).isRight()).isTrue();
        String file = storage.list().get(random.nextInt(storage.list().size()));
        int size = storage.read(file).length;
        for (int flips = 0; flips < 3; flips++) {
            storage.flipBits(file, random.nextInt(size), 1 + random.nextInt(255));
        }
        assertExactOrRefused(storage, synced);
    }

    /**
     * Guards against loss of synced entries, votes and snapshots in a crash between any two writes.
     */
    @Property(tries = 500, seed = "42")
    void crashKeepsAllSyncedData(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        MemoryStorage storage = new MemoryStorage();
        List<LogEntry> written = new ArrayList<>();
        long snapshotIndex = 0;
        for (int restart = 0; restart < 4; restart++) {
            DurableLog log = open(storage).log();
            int synced = written.size();
            long term = 0;
            for (int step = 0; step < 12; step++) {
                int choice = random.nextInt(5);
                if (choice <= 1) {
                    List<LogEntry> more =
                            entries(written.size() + 1, 1 + random.nextInt(4), random);
                    written.addAll(more);
                    log.append(more).get();
                } else if (choice == 2) {
                    log.sync().get();
                    synced = written.size();
                } else if (choice == 3 && written.size() > snapshotIndex) {
                    int kept =
                            (int) snapshotIndex
                                    + random.nextInt(written.size() - (int) snapshotIndex);
                    written.subList(kept, written.size()).clear();
                    log.truncateAfter(kept).get();
                    synced = Math.min(synced, kept);
                } else if (synced > snapshotIndex) {
                    snapshotIndex = synced;
                    log.saveSnapshot(snapshot(snapshotIndex), false).get();
                }
                term = step;
                log.saveVote(new Vote(term, Option.none())).get();
            }
            storage.crash(random);
            Recovered recovered = open(storage).recovered();
            assertThat(recovered.vote().term()).isEqualTo(term);
            assertThat(recovered.snapshot().map(Snapshot::index).getOrElse(0L))
                    .isEqualTo(snapshotIndex);
            int end = (int) snapshotIndex + recovered.entries().size();
            assertThat(end).isGreaterThanOrEqualTo(synced);
            assertThat(recovered.entries()).isEqualTo(written.subList((int) snapshotIndex, end));
            written.subList(end, written.size()).clear();
        }
    }

    /** Guards against refusing to open after a crash in the middle of a write. */
    @Test
    void tornTailIsTruncated() throws StorageException {
        MemoryStorage storage = new MemoryStorage();
        DurableLog log = open(storage).log();
        List<LogEntry> written = entries(1, 2, new SplittableRandom(1));
        log.append(written).get();
        log.sync().get();
        storage.append("log-00000000000000000001", new byte[30]);
        Recovered recovered = open(storage).recovered();
        assertThat(recovered.entries()).isEqualTo(written);
        assertThat(recovered.repairs()).hasSize(1);
    }

    /** Guards against truncating valid records after damage and modifying a refused folder. */
    @Test
    void damageBeforeValidRecordsIsRefusedAndLeavesTheFiles() throws StorageException {
        MemoryStorage storage = new MemoryStorage();
        writeSample(storage);
        String file = storage.list().stream().filter(f -> f.startsWith("log-")).findFirst().get();
        storage.flipBits(file, 12, 1);
        byte[] before = storage.read(file);
        Either<StorageError, DurableLog.Opened> opened = tryOpen(storage);
        assertThat(opened.getLeft().kind()).isEqualTo(StorageErrorKind.DAMAGED_LOG);
        assertThat(opened.getLeft().message()).contains(file, "offset 0", "repair");
        assertThat(storage.read(file)).isEqualTo(before);
    }

    /** Guards against writes after a failed one, since the end of the file is then unknown. */
    @Test
    void fullDiskRefusesAllLaterWrites() {
        MemoryStorage storage = new MemoryStorage();
        DurableLog log = open(storage).log();
        List<LogEntry> written = entries(1, 3, new SplittableRandom(1));
        log.append(written).get();
        log.sync().get();
        storage.limitCapacity(storage.usedBytes() + 20);
        List<LogEntry> more = entries(4, 3, new SplittableRandom(2));
        assertThat(log.append(more).getLeft().kind()).isEqualTo(StorageErrorKind.DISK_FULL);
        storage.limitCapacity(Long.MAX_VALUE);
        assertThat(log.append(more).getLeft().kind()).isEqualTo(StorageErrorKind.UNUSABLE);
        assertThat(log.sync().isLeft()).isTrue();
        List<LogEntry> kept = open(storage).recovered().entries();
        assertThat(kept).hasSizeLessThan(6).startsWith(written.toArray(new LogEntry[0]));
        assertThat(more).startsWith(kept.subList(3, kept.size()).toArray(new LogEntry[0]));
    }

    /** Guards against acknowledging entries after their sync has failed. */
    @Test
    void refusedSyncIsAnError() {
        MemoryStorage storage = new MemoryStorage();
        DurableLog log = open(storage).log();
        log.append(entries(1, 1, new SplittableRandom(1))).get();
        storage.failSyncs(true);
        assertThat(log.sync().getLeft().kind()).isEqualTo(StorageErrorKind.IO);
    }

    /** Guards against entries of a replaced log that reappear after an installed snapshot. */
    @Test
    void installedSnapshotReplacesTheLog() {
        MemoryStorage storage = new MemoryStorage();
        DurableLog log = open(storage).log();
        log.append(entries(1, 30, new SplittableRandom(1))).get();
        log.sync().get();
        log.saveSnapshot(new Snapshot(20, 7, Configuration.EMPTY, ByteString.EMPTY), true).get();
        Recovered recovered = open(storage).recovered();
        assertThat(recovered.entries()).isEmpty();
        assertThat(recovered.snapshot().get().term()).isEqualTo(7);
    }

    /**
     * Guards against two processes or two nodes using one folder, and against lost file contents.
     */
    @Test
    void fileStorageKeepsStateAndIsLocked(@TempDir Path folder) throws StorageException {
        List<LogEntry> synced;
        try (FileStorage storage = FileStorage.open(folder)) {
            synced = writeSample(storage);
            Either<StorageError, FileStorage> second = tryOpenFiles(folder);
            assertThat(second.getLeft().kind()).isEqualTo(StorageErrorKind.FOLDER_IN_USE);
        }
        try (FileStorage storage = FileStorage.open(folder)) {
            assertThat(assertExactOrRefused(storage, synced)).isTrue();
            Either<StorageError, DurableLog.Opened> foreign =
                    DurableLog.open(storage, "other", () -> 1, SMALL_SEGMENTS);
            assertThat(foreign.getLeft().kind()).isEqualTo(StorageErrorKind.FOREIGN_FOLDER);
        }
    }

    private static Either<StorageError, FileStorage> tryOpenFiles(Path folder) {
        try {
            return Either.right(FileStorage.open(folder));
        } catch (StorageException e) {
            return Either.left(e.error());
        }
    }

    /** Writes several segments, a snapshot, a truncation and a vote; returns the synced entries. */
    private static List<LogEntry> writeSample(Storage storage) {
        SplittableRandom random = new SplittableRandom(7);
        DurableLog log = open(storage).log();
        List<LogEntry> all = entries(1, 24, random);
        for (LogEntry entry : all) {
            log.append(List.of(entry)).get();
            log.sync().get();
        }
        log.truncateAfter(22).get();
        log.saveSnapshot(snapshot(10), false).get();
        log.saveVote(new Vote(3, Option.some(CANDIDATE))).get();
        return all.subList(10, 22);
    }

    /**
     * Opens a damaged folder and returns whether that succeeded. All synced data must then be
     * intact; otherwise the error must name the remedy.
     */
    private static boolean assertExactOrRefused(Storage storage, List<LogEntry> synced) {
        Either<StorageError, DurableLog.Opened> opened = tryOpen(storage);
        if (opened.isLeft()) {
            assertThat(opened.getLeft().message()).contains("at offset", "remedy: ");
            return false;
        }
        Recovered recovered = opened.get().recovered();
        assertThat(recovered.identity()).isEqualTo(new MemberId("a", 5));
        assertThat(recovered.vote()).isEqualTo(new Vote(3, Option.some(CANDIDATE)));
        assertThat(recovered.entries()).isEqualTo(synced);
        return true;
    }

    private static DurableLog.Opened open(Storage storage) {
        return tryOpen(storage).getOrElseThrow(error -> new IllegalStateException(error.message()));
    }

    private static Either<StorageError, DurableLog.Opened> tryOpen(Storage storage) {
        return DurableLog.open(storage, "a", () -> 5, SMALL_SEGMENTS);
    }

    private static Snapshot snapshot(long index) {
        return new Snapshot(index, 1, Configuration.EMPTY, ByteString.copyFromUtf8("state"));
    }

    private static List<LogEntry> entries(long first, int count, SplittableRandom random) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] payload = new byte[random.nextInt(40)];
            random.nextBytes(payload);
            entries.add(
                    new LogEntry(1, first + i, EntryKind.COMMAND, ByteString.copyFrom(payload)));
        }
        return entries;
    }
}
