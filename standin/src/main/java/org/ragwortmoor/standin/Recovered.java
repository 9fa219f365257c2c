package org.ragwortmoor.standin;

import java.util.List;

/**
 * State of an endpoint when its process starts.
 *
 * @param promise its promise
 * @param entries its log
 * @param discarded entries that truncations have discarded
 */
public record Recovered(Promise promise, List<LogEntry> entries, long discarded) {
    /** The state of a new endpoint. */
    public static final Recovered EMPTY = new Recovered(Promise.NONE, List.of(), 0);

    /** Copies the list. */
    public Recovered {
        entries = List.copyOf(entries);
    }
}
