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
 * <p>On the first start with bootstrap enabled, the founding members are recorded, so that a
 * process that restarts before the group has formed still knows them. A damaged folder is emptied;
 * the process then rejoins under a new incarnation, which never votes as the old one.
 */
final class DataFolder {
    private static final String FOUNDERS = "founders";

    private static final Logger LOG = LoggerFactory.getLogger(DataFolder.class);

    private DataFolder() {}

    /** Opens the folder, and records the founders if the group is being bootstrapped. */
    static FileStorage open(Path folder, boolean bootstrap, List<String> seeds)
            throws StorageException {
        FileStorage storage = FileStorage.open(folder);
        boolean empty = storage.list().stream().allMatch(f -> f.equals("lock"));
        if (bootstrap && empty) {
            byte[] text = String.join(",", seeds).getBytes(StandardCharsets.UTF_8);
            String line = checksum(text) + " " + String.join(",", seeds);
            storage.append(FOUNDERS, line.getBytes(StandardCharsets.UTF_8));
            storage.sync(FOUNDERS);
            storage.syncFolder();
        }
        return storage;
    }

    /** Returns the founding members; empty if the process joined later. */
    static List<String> founders(FileStorage storage) throws StorageException {
        if (!storage.list().contains(FOUNDERS)) {
            return List.of();
        }
        String line = new String(storage.read(FOUNDERS), StandardCharsets.UTF_8);
        int separator = line.indexOf(' ');
        String names = line.substring(separator + 1);
        boolean intact =
                separator > 0
                        && line.substring(0, separator)
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

    /**
     * Empties a folder whose content is damaged, so that it can be opened again; returns the error
     * if the content is not damaged.
     */
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
