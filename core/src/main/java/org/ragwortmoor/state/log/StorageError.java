package org.ragwortmoor.state.log;

/**
 * An expected error of the durable log.
 *
 * @param kind kind of the error
 * @param file name of the file in the data folder
 * @param offset byte offset in the file
 * @param detail further details, or an empty string
 */
public record StorageError(StorageErrorKind kind, String file, long offset, String detail) {
    /** Returns a message that names the file, the offset and the remedy. */
    public String message() {
        String details = detail.isEmpty() ? "" : " (" + detail + ")";
        return file
                + " at offset "
                + offset
                + ": "
                + kind.summary()
                + details
                + "; remedy: "
                + kind.remedy();
    }
}
