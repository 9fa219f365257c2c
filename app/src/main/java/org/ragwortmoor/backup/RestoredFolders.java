package org.ragwortmoor.backup;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.ragwortmoor.coordination.control.ControlState;
import org.ragwortmoor.coordination.control.ControlStateCodec;
import org.ragwortmoor.coordination.control.RestoredState;
import org.ragwortmoor.settings.NodeAddress;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.DurableLog;
import org.ragwortmoor.state.log.FileStorage;
import org.ragwortmoor.state.log.LogSettings;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Snapshot;
import org.ragwortmoor.state.log.StorageError;
import org.ragwortmoor.state.log.StorageException;
import org.ragwortmoor.state.log.Vote;

/**
 * The data folders of a new control group that starts from a backup.
 *
 * <p>All folders are written in one run with new incarnations, and each pins the incarnations of
 * all. So neither a process of the lost group nor a folder of another run can vote in this one. The
 * group starts in a consensus term at the restore's floor, above every term of the lost group.
 */
public final class RestoredFolders {
    private final ControlBackup backup;
    private final List<NodeAddress> members;
    private final LongSupplier incarnations;

    /**
     * Prepares a new control group.
     *
     * @param members identifiers and peer addresses of its members
     * @param incarnations source of random incarnations
     */
    public RestoredFolders(
            ControlBackup backup, List<NodeAddress> members, LongSupplier incarnations) {
        this.backup = backup;
        this.members = List.copyOf(members);
        this.incarnations = incarnations;
    }

    /**
     * Writes one data folder per member into {@code output}, named after the member.
     *
     * @param output folder that is absent or empty
     * @param nowMillis wall-clock time in milliseconds, the floor of terms and versions
     * @return the data folders, or why nothing was written
     * @throws IOException if the folder cannot be written; it stays as it was
     */
    public Either<String, List<Path>> write(Path output, long nowMillis) throws IOException {
        if (nowMillis <= backup.createdMillis() || nowMillis <= backup.term()) {
            return Either.left(
                    "the backup was taken at "
                            + backup.createdMillis()
                            + " ms, after the clock of this machine ("
                            + nowMillis
                            + " ms); correct the clock and restore again");
        }
        Either<String, ControlState> state = RestoredState.of(backup.state(), nowMillis);
        if (state.isLeft()) {
            return Either.left(state.getLeft());
        }
        Path target = output.toAbsolutePath();
        if (!vacant(target)) {
            return Either.left(
                    target + " is not empty; name an absent or empty folder with --output");
        }
        Path partial = Files.createTempDirectory(target.getParent(), target.getFileName() + "-");
        try {
            List<MemberId> ids = new ArrayList<>();
            members.forEach(m -> ids.add(new MemberId(m.id(), incarnation())));
            Snapshot snapshot = snapshot(state.get(), ids, nowMillis);
            for (MemberId id : ids) {
                PrivateFiles.createFolder(partial.resolve(id.node()));
                writeFolder(partial.resolve(id.node()), id, snapshot);
            }
            // Replaces an empty folder only, so a folder that was filled meanwhile is kept.
            Files.move(partial, target, StandardCopyOption.ATOMIC_MOVE);
            PrivateFiles.syncFolder(target.getParent());
        } catch (StorageException e) {
            throw new IOException(e.getMessage(), e);
        } finally {
            delete(partial);
        }
        return Either.right(members.stream().map(m -> target.resolve(m.id())).toList());
    }

    private long incarnation() {
        long incarnation = 0;
        while (incarnation == 0) {
            incarnation = incarnations.getAsLong();
        }
        return incarnation;
    }

    private Snapshot snapshot(ControlState state, List<MemberId> ids, long floor) {
        Configuration configuration = Configuration.EMPTY;
        for (int i = 0; i < ids.size(); i++) {
            String address = members.get(i).address().toString();
            configuration = configuration.with(new Member(ids.get(i), address, true));
        }
        return new Snapshot(
                Math.max(1, backup.index()),
                floor,
                configuration,
                ByteString.copyFrom(ControlStateCodec.encodeSnapshot(state)));
    }

    private static void writeFolder(Path folder, MemberId id, Snapshot snapshot)
            throws StorageException, IOException {
        try (FileStorage storage = FileStorage.open(folder)) {
            DurableLog.Opened opened =
                    unless(
                            DurableLog.open(
                                    storage, id.node(), id::incarnation, LogSettings.DEFAULT));
            try (DurableLog log = opened.log()) {
                unless(log.saveVote(new Vote(snapshot.term(), Option.none())));
                unless(log.saveSnapshot(snapshot, true));
            }
        }
    }

    private static <T> T unless(Either<StorageError, T> result) throws IOException {
        if (result.isLeft()) {
            throw new IOException(result.getLeft().message());
        }
        return result.get();
    }

    private static boolean vacant(Path folder) throws IOException {
        try (Stream<Path> present = Files.list(folder)) {
            return present.findAny().isEmpty();
        } catch (NoSuchFileException e) {
            return true;
        }
    }

    private static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        List<Path> all;
        try (Stream<Path> found = Files.walk(folder)) {
            all = found.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : all) {
            Files.delete(path);
        }
    }
}
