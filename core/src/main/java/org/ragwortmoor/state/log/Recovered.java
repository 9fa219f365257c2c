package org.ragwortmoor.state.log;

import io.vavr.control.Option;
import java.util.List;

/**
 * The content of a data folder at startup.
 *
 * @param identity node id and incarnation
 * @param vote newest term and the vote in it
 * @param snapshot newest snapshot, if any
 * @param entries all entries after the snapshot, in order
 * @param repairs descriptions of the repairs that were made, to be logged
 */
public record Recovered(
        MemberId identity,
        Vote vote,
        Option<Snapshot> snapshot,
        List<LogEntry> entries,
        List<String> repairs) {
    /** Copies the lists. */
    public Recovered {
        entries = List.copyOf(entries);
        repairs = List.copyOf(repairs);
    }
}
