package org.ragwortmoor.state.log;

import java.util.List;

/**
 * A flat folder of files. File contents are durable after {@link #sync}, names after {@link
 * #syncFolder}.
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
     * Appends bytes to a file and creates it if it is absent. After an error any prefix of the
     * bytes may be in the file.
     *
     * @throws StorageException if the disk is full or refuses the write
     */
    void append(String file, byte[] bytes) throws StorageException;

    /**
     * Cuts a file to {@code size} bytes.
     *
     * @throws StorageException if the disk refuses the change
     */
    void truncate(String file, long size) throws StorageException;

    /**
     * Makes the content of a file durable.
     *
     * @throws StorageException if the disk refuses; what was written since the last sync may be
     *     lost then, and a later sync proves nothing about it
     */
    void sync(String file) throws StorageException;

    /**
     * Makes created, renamed and deleted names durable.
     *
     * @throws StorageException if the disk refuses
     */
    void syncFolder() throws StorageException;

    /**
     * Renames a file atomically and replaces an existing one.
     *
     * @throws StorageException if the disk refuses
     */
    void rename(String from, String to) throws StorageException;

    /**
     * Deletes a file.
     *
     * @throws StorageException if the disk refuses
     */
    void delete(String file) throws StorageException;

    /** Closes all files and releases the folder. */
    @Override
    void close();
}
