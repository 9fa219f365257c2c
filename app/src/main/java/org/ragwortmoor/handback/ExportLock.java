package org.ragwortmoor.handback;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.ragwortmoor.cli.ExitCode;

/** Keeps a second export out of a folder, because two would mix their pages. */
final class ExportLock implements AutoCloseable {
    /** Name of the file; it goes away with the end of a complete export. */
    static final String FILE = "export.lock";

    private final Path folder;
    private final FileChannel channel;

    private ExportLock(Path folder, FileChannel channel) {
        this.folder = folder;
        this.channel = channel;
    }

    /**
     * Locks a folder until the lock is closed or the process ends.
     *
     * @throws HandBackException if another export uses the folder
     */
    static ExportLock take(Path folder) throws HandBackException, IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        boolean locked = false;
        try {
            locked = channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // This process holds the lock.
            locked = false;
        } finally {
            if (!locked) {
                channel.close();
            }
        }
        if (!locked) {
            throw new HandBackException(
                    ExitCode.ENVIRONMENT,
                    "another export uses "
                            + folder
                            + "; wait for its end, or name another folder with --folder");
        }
        return new ExportLock(folder, channel);
    }

    Path folder() {
        return folder;
    }

    /** The check of a complete export accepts no file that its manifest does not name. */
    @Override
    public void close() throws IOException {
        if (Files.exists(folder.resolve(Manifest.FILE))) {
            Files.deleteIfExists(folder.resolve(FILE));
        }
        channel.close();
    }
}
