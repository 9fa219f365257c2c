package org.ragwortmoor.state.log;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * In-memory storage with fault injection. A crash loses unsynced data or leaves a torn write, file
 * contents can be corrupted or truncated, and the disk can be full or fail to sync.
 */
public final class MemoryStorage implements Storage {
    private Map<String, MemoryFile> names = new TreeMap<>();
    private Map<String, MemoryFile> durableNames = new TreeMap<>();
    private long capacity = Long.MAX_VALUE;
    private boolean syncFails;

    /** Creates an empty storage without faults. */
    public MemoryStorage() {}

    @Override
    public List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override
    public byte[] read(String file) throws StorageException {
        return find(file).content();
    }

    @Override
    public void append(String file, byte[] bytes) throws StorageException {
        long free = Math.max(0, capacity - usedBytes());
        MemoryFile target = names.computeIfAbsent(file, name -> new MemoryFile());
        int fits = (int) Math.min(bytes.length, free);
        int offset = target.size;
        target.append(bytes, fits);
        if (fits < bytes.length) {
            throw StorageException.of(StorageErrorKind.DISK_FULL, file, offset, "injected");
        }
    }

    @Override
    public void truncate(String file, long size) throws StorageException {
        find(file).truncate((int) size);
    }

    @Override
    public void sync(String file) throws StorageException {
        if (syncFails) {
            throw StorageException.of(StorageErrorKind.IO, file, 0, "injected sync error");
        }
        find(file).sync();
    }

    @Override
    public void syncFolder() throws StorageException {
        if (syncFails) {
            throw StorageException.of(StorageErrorKind.IO, ".", 0, "injected sync error");
        }
        durableNames = new TreeMap<>(names);
    }

    @Override
    public void rename(String from, String to) throws StorageException {
        MemoryFile moved = find(from);
        names.remove(from);
        names.put(to, moved);
    }

    @Override
    public void delete(String file) {
        names.remove(file);
    }

    @Override
    public void close() {
        // The files remain, as on a disk.
    }

    /**
     * Simulates a crash of the VM: all unsynced file names are either kept or lost, and a random
     * prefix of the unsynced bytes survives, whose last byte may be damaged.
     */
    public void crash(RandomGenerator random) {
        if (random.nextBoolean()) {
            names = new TreeMap<>(durableNames);
        }
        names.values().forEach(file -> file.crash(random));
        durableNames = new TreeMap<>(names);
    }

    /**
     * Limits the sum of all file sizes in bytes. A write that exceeds it fails after the bytes that
     * fit have been written.
     */
    public void limitCapacity(long bytes) {
        capacity = bytes;
    }

    /** Sets whether syncs fail from now on. */
    public void failSyncs(boolean fail) {
        syncFails = fail;
    }

    /** Inverts the bits of {@code mask} in the byte at {@code offset}. */
    public void flipBits(String file, int offset, int mask) {
        names.get(file).data[offset] ^= (byte) mask;
    }

    /** Durably truncates a file to {@code size} bytes. */
    public void truncateDurably(String file, int size) {
        MemoryFile target = names.get(file);
        target.truncate(size);
        target.sync();
    }

    /** Returns a copy of the current files without injected faults. */
    public MemoryStorage copy() {
        MemoryStorage copied = new MemoryStorage();
        names.forEach((name, file) -> copied.names.put(name, file.copy()));
        copied.durableNames = new TreeMap<>(copied.names);
        return copied;
    }

    /** Returns the sum of all file sizes in bytes. */
    public long usedBytes() {
        return names.values().stream().mapToLong(file -> file.size).sum();
    }

    private MemoryFile find(String file) throws StorageException {
        MemoryFile found = names.get(file);
        if (found == null) {
            throw StorageException.of(StorageErrorKind.MISSING_FILE, file, 0, "");
        }
        return found;
    }

    /** The content of a file and the content that survives a crash. */
    private static final class MemoryFile {
        private byte[] data = new byte[64];
        private int size;
        private int durableSize;
        // Content before an unsynced truncation, or null; a crash may restore it.
        private byte[] contentBeforeTruncation;

        byte[] content() {
            return Arrays.copyOf(data, size);
        }

        void append(byte[] bytes, int count) {
            if (size + count > data.length) {
                data = Arrays.copyOf(data, Math.max(data.length * 2, size + count));
            }
            System.arraycopy(bytes, 0, data, size, count);
            size += count;
        }

        void truncate(int newSize) {
            if (newSize < durableSize && contentBeforeTruncation == null) {
                contentBeforeTruncation = Arrays.copyOf(data, durableSize);
            }
            size = Math.min(size, newSize);
        }

        void sync() {
            durableSize = size;
            contentBeforeTruncation = null;
        }

        void crash(RandomGenerator random) {
            if (contentBeforeTruncation != null && random.nextBoolean()) {
                data = contentBeforeTruncation;
                size = data.length;
            } else if (contentBeforeTruncation == null && size > durableSize) {
                int torn = random.nextInt(size - durableSize + 1);
                size = durableSize + torn;
                if (torn > 0 && random.nextBoolean()) {
                    data[size - 1] ^= 0x55;
                }
            }
            sync();
        }

        MemoryFile copy() {
            MemoryFile copied = new MemoryFile();
            copied.data = content();
            copied.size = size;
            copied.sync();
            return copied;
        }
    }
}
