package org.ragwortmoor.state.log;

/**
 * An expected error of the durable log.
 *
 * @param kind what is wrong
 * @param file name of the file in the data folder
 * @param offset byte offset in the file
 * @param detail further facts, or an empty string
 */
public record StorageError(StorageErrorKind kind, String file, long offset, String detail) {
    /** Returns a message that names the file, the offset and the remedy. */
    public String message() {
        String facts = detail.isEmpty() ? "" : " (" + detail + ")";
        return file
                + " at offset "
                + offset
                + ": "
                + kind.summary()
                + facts
                + "; remedy: "
                + kind.remedy();
    }
}
