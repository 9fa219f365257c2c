package org.ragwortmoor.backup;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;

/** Files and folders that only their owner may read, because they hold the token keys. */
public final class PrivateFiles {
    private static final String TEMPORARY = ".tmp";

    private PrivateFiles() {}

    /**
     * Writes a new file durably; it has its name only when it is complete.
     *
     * @throws FileAlreadyExistsException if a file of this name exists; it stays as it is
     * @throws IOException if the file cannot be written
     */
    public static void create(Path file, byte[] content) throws IOException {
        Path target = file.toAbsolutePath();
        // Readable by its owner only; the name is new, so another run keeps its own file.
        Path temporary =
                Files.createTempFile(target.getParent(), target.getFileName() + "-", TEMPORARY);
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            ByteBuffer buffer = ByteBuffer.wrap(content);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
            // A link fails if the name exists; a move would replace the file.
            Files.createLink(target, temporary);
        } finally {
            Files.deleteIfExists(temporary);
        }
        syncFolder(target.getParent());
    }

    /** Creates a folder that only its owner may list. */
    static Path createFolder(Path folder) throws IOException {
        return Files.createDirectory(
                folder,
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
    }

    /** Makes the names in a folder durable. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
