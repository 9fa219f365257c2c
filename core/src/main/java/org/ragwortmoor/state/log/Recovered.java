package org.ragwortmoor.state.log;

import io.vavr.control.Option;
import java.util.List;

/**
 * What a data folder contained at a start.
 *
 * @param identity node id and incarnation
 * @param vote newest term and vote
 * @param snapshot newest snapshot, if any
 * @param entries all entries behind the snapshot, in order
 * @param notices repairs that were made, for the log of the process
 */
public record Recovered(
        MemberId identity,
        Vote vote,
        Option<Snapshot> snapshot,
        List<LogEntry> entries,
        List<String> notices) {
    /** Copies the lists. */
    public Recovered {
        entries = List.copyOf(entries);
        notices = List.copyOf(notices);
    }
}
