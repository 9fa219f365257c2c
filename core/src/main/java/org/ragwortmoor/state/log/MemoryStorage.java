package org.ragwortmoor.state.log;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Storage in memory with fault injection: a crash loses or tears what was not synced, bytes can be
 * flipped or cut, and the disk can be full or refuse to sync.
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
        long free = Math.max(0, capacity - used());
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
        // Files stay, as on a disk.
    }

    /**
     * Simulates a crash of the machine: unsynced names are kept or lost together, and of unsynced
     * bytes a random prefix survives whose last byte may be damaged.
     */
    public void crash(RandomGenerator random) {
        if (random.nextBoolean()) {
            names = new TreeMap<>(durableNames);
        }
        names.values().forEach(file -> file.crash(random));
        durableNames = new TreeMap<>(names);
    }

    /** Limits the sum of all file sizes in bytes; writes beyond it are torn and refused. */
    public void limitCapacity(long bytes) {
        capacity = bytes;
    }

    /** Sets whether syncs are refused from now on. */
    public void failSyncs(boolean fail) {
        syncFails = fail;
    }

    /** Inverts the bits of {@code mask} in the byte at {@code offset}. */
    public void flip(String file, int offset, int mask) {
        names.get(file).data[offset] ^= (byte) mask;
    }

    /** Cuts a file as a durable damage. */
    public void cut(String file, int size) {
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
    public long used() {
        return names.values().stream().mapToLong(file -> file.size).sum();
    }

    private MemoryFile find(String file) throws StorageException {
        MemoryFile found = names.get(file);
        if (found == null) {
            throw StorageException.of(StorageErrorKind.MISSING_FILE, file, 0, "");
        }
        return found;
    }

    /** Appended bytes with the content that survives a crash. */
    private static final class MemoryFile {
        private byte[] data = new byte[64];
        private int size;
        private int durableSize;
        // Content before an unsynced truncation, or null; it comes back with a crash.
        private byte[] durableBefore;

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
            if (newSize < durableSize && durableBefore == null) {
                durableBefore = Arrays.copyOf(data, durableSize);
            }
            size = Math.min(size, newSize);
        }

        void sync() {
            durableSize = size;
            durableBefore = null;
        }

        void crash(RandomGenerator random) {
            if (durableBefore != null && random.nextBoolean()) {
                data = durableBefore;
                size = data.length;
            } else if (durableBefore == null && size > durableSize) {
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
