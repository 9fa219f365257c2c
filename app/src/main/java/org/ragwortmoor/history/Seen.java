package org.ragwortmoor.history;

/**
 * One value that a read returned.
 *
 * @param history history of the record that was read
 * @param record the read
 * @param value value, null if there was no record
 */
record Seen(RecordHistory history, HistoryRecord record, String value) {
    /** Returns whether what was seen certainly lacks {@code write}. */
    boolean lacks(WriteFact write) {
        if (history.counter() || history.deleted()) {
            return false;
        }
        return value == null || history.writer(value).exists(found -> found.certainlyBefore(write));
    }

    /** Returns the number that was seen, 0 if there was no record; -1 if it is no number. */
    long number() {
        return RecordHistory.number(value).getOrElse(-1L);
    }
}
