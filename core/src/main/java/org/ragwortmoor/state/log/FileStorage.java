package org.ragwortmoor.state.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Storage in a folder of the file system, locked so that only one process uses it at a time. */
public final class FileStorage implements Storage {
    private static final Logger LOG = LoggerFactory.getLogger(FileStorage.class);
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private final FileChannel lockChannel;
    private final Map<String, FileChannel> openChannels = new HashMap<>();

    private FileStorage(Path folder, FileChannel lockChannel) {
        this.folder = folder;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens and locks a folder; creates it if it does not exist.
     *
     * @throws StorageException if the folder cannot be created or another process uses it
     */
    public static FileStorage open(Path folder) throws StorageException {
        FileChannel channel = null;
        boolean locked = false;
        try {
            Files.createDirectories(folder);
            channel =
                    FileChannel.open(
                            folder.resolve(LOCK_FILE),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            FileLock lock = channel.tryLock();
            locked = lock != null;
        } catch (OverlappingFileLockException e) {
            locked = false;
        } catch (IOException e) {
            closeQuietly(channel);
            throw storageException(LOCK_FILE, 0, e);
        }
        if (!locked) {
            closeQuietly(channel);
            throw StorageException.of(
                    StorageErrorKind.FOLDER_IN_USE, LOCK_FILE, 0, folder.toString());
        }
        return new FileStorage(folder, channel);
    }

    @Override
    public List<String> list() throws StorageException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(p -> p.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw storageException(".", 0, e);
        }
    }

    @Override
    public byte[] read(String file) throws StorageException {
        try {
            return Files.readAllBytes(folder.resolve(file));
        } catch (NoSuchFileException e) {
            throw StorageException.of(StorageErrorKind.MISSING_FILE, file, 0, "");
        } catch (IOException e) {
            throw storageException(file, 0, e);
        }
    }

    @Override
    public void append(String file, byte[] bytes) throws StorageException {
        long offset = 0;
        try {
            FileChannel channel = channel(file);
            offset = channel.size();
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer, offset + buffer.position());
            }
        } catch (IOException e) {
            throw storageException(file, offset, e);
        }
    }

    @Override
    public void truncate(String file, long size) throws StorageException {
        try {
            channel(file).truncate(size);
        } catch (IOException e) {
            throw storageException(file, size, e);
        }
    }

    @Override
    public void sync(String file) throws StorageException {
        try {
            channel(file).force(true);
        } catch (IOException e) {
            throw storageException(file, 0, e);
        }
    }

    @Override
    public void syncFolder() throws StorageException {
        // On Linux, syncing a directory that is opened for reading makes its entries durable.
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            throw storageException(".", 0, e);
        }
    }

    @Override
    public void rename(String from, String to) throws StorageException {
        try {
            closeIfOpen(from);
            closeIfOpen(to);
            Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw storageException(to, 0, e);
        }
    }

    @Override
    public void delete(String file) throws StorageException {
        try {
            closeIfOpen(file);
            Files.deleteIfExists(folder.resolve(file));
        } catch (IOException e) {
            throw storageException(file, 0, e);
        }
    }

    @Override
    public void close() {
        openChannels.values().forEach(FileStorage::closeQuietly);
        openChannels.clear();
        // Closing the channel releases the lock.
        closeQuietly(lockChannel);
    }

    private FileChannel channel(String file) throws IOException {
        FileChannel known = openChannels.get(file);
        if (known != null) {
            return known;
        }
        FileChannel created =
                FileChannel.open(
                        folder.resolve(file), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        openChannels.put(file, created);
        return created;
    }

    private void closeIfOpen(String file) throws IOException {
        FileChannel known = openChannels.remove(file);
        if (known != null) {
            known.close();
        }
    }

    private static void closeQuietly(FileChannel channel) {
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            LOG.warn("cannot close a file in the data folder", e);
        }
    }

    private static StorageException storageException(String file, long offset, IOException cause) {
        String text = String.valueOf(cause.getMessage());
        String lower = text.toLowerCase(Locale.ROOT);
        boolean full = lower.contains("no space left") || lower.contains("quota exceeded");
        StorageErrorKind kind = full ? StorageErrorKind.DISK_FULL : StorageErrorKind.IO;
        return new StorageException(new StorageError(kind, file, offset, text), cause);
    }
}
