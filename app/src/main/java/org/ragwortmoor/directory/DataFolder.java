package org.ragwortmoor.directory;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.CRC32C;
import org.ragwortmoor.state.log.FileStorage;
import org.ragwortmoor.state.log.StorageError;
import org.ragwortmoor.state.log.StorageErrorKind;
import org.ragwortmoor.state.log.StorageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The data folder of a directory process.
 *
 * <p>At the very first start it notes the founding members, so that a process that is restarted
 * before the group has formed still knows them. A folder whose content is damaged is emptied: the
 * process then joins again under a new incarnation, which never votes as the old one.
 */
final class DataFolder {
    private static final String FOUNDERS = "founders";

    private static final Logger LOG = LoggerFactory.getLogger(DataFolder.class);

    private DataFolder() {}

    /** Opens the folder and notes the founders if the group is being founded. */
    static FileStorage open(Path folder, boolean bootstrap, List<String> seeds)
            throws StorageException {
        FileStorage storage = FileStorage.open(folder);
        boolean blank = storage.list().stream().allMatch(f -> f.equals("lock"));
        if (bootstrap && blank) {
            byte[] text = String.join(",", seeds).getBytes(StandardCharsets.UTF_8);
            String line = checksum(text) + " " + String.join(",", seeds);
            storage.append(FOUNDERS, line.getBytes(StandardCharsets.UTF_8));
            storage.sync(FOUNDERS);
            storage.syncFolder();
        }
        return storage;
    }

    /** Returns the founding members; empty on a process that joined later. */
    static List<String> founders(FileStorage storage) throws StorageException {
        if (!storage.list().contains(FOUNDERS)) {
            return List.of();
        }
        String line = new String(storage.read(FOUNDERS), StandardCharsets.UTF_8);
        int blank = line.indexOf(' ');
        String names = line.substring(blank + 1);
        boolean intact =
                blank > 0
                        && line.substring(0, blank)
                                .equals(checksum(names.getBytes(StandardCharsets.UTF_8)));
        if (!intact) {
            LOG.warn("event=founders_damaged outcome=join_instead");
            return List.of();
        }
        return names.isEmpty() ? List.of() : List.of(names.split(","));
    }

    private static String checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return Long.toHexString(crc.getValue());
    }

    /** Empties a folder whose content is damaged; returns whether it may be opened again. */
    static Either<StorageError, Boolean> discardIfDamaged(Path folder, StorageError error) {
        boolean damaged =
                error.kind() != StorageErrorKind.IO
                        && error.kind() != StorageErrorKind.DISK_FULL
                        && error.kind() != StorageErrorKind.UNUSABLE;
        if (!damaged) {
            return Either.left(error);
        }
        LOG.warn("event=data_discarded reason=\"{}\" outcome=join_again", error.message());
        try (FileStorage storage = FileStorage.open(folder)) {
            for (String file : storage.list()) {
                storage.delete(file);
            }
            storage.syncFolder();
            return Either.right(true);
        } catch (StorageException e) {
            return Either.left(e.error());
        }
    }
}
