package org.ragwortmoor.state.log;

import java.util.List;

/**
 * A folder of files without subfolders. File contents are durable after {@link #sync}, file names
 * after {@link #syncFolder}.
 */
public interface Storage extends AutoCloseable {
    /**
     * Returns the names of all files in ascending order.
     *
     * @throws StorageException if the folder cannot be read
     */
    List<String> list() throws StorageException;

    /**
     * Returns the content of a file.
     *
     * @throws StorageException if the file is missing or cannot be read
     */
    byte[] read(String file) throws StorageException;

    /**
     * Appends bytes to a file, which is created if it does not exist. After an error, the file may
     * contain any prefix of the bytes.
     *
     * @throws StorageException if the disk is full or the write fails
     */
    void append(String file, byte[] bytes) throws StorageException;

    /**
     * Truncates a file to {@code size} bytes.
     *
     * @throws StorageException if the truncation fails
     */
    void truncate(String file, long size) throws StorageException;

    /**
     * Makes the content of a file durable.
     *
     * @throws StorageException if the sync fails; data written since the last sync may then be
     *     lost, even if a later sync succeeds
     */
    void sync(String file) throws StorageException;

    /**
     * Makes the creation, renaming and deletion of files durable.
     *
     * @throws StorageException if the sync fails
     */
    void syncFolder() throws StorageException;

    /**
     * Renames a file atomically; an existing file {@code to} is replaced.
     *
     * @throws StorageException if the file cannot be renamed
     */
    void rename(String from, String to) throws StorageException;

    /**
     * Deletes a file if it exists.
     *
     * @throws StorageException if the file cannot be deleted
     */
    void delete(String file) throws StorageException;

    /** Closes all files and releases the lock on the folder. */
    @Override
    void close();
}
