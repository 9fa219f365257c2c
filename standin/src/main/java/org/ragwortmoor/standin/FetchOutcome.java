package org.ragwortmoor.standin;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/** The answer of a primary to a replica that asks for the entries behind its last position. */
public sealed interface FetchOutcome {
    /**
     * Entries to append.
     *
     * @param after last position of the replica
     * @param entries entries behind it; empty if the replica has them all
     */
    record Entries(Position after, List<LogEntry> entries) implements FetchOutcome {
        /** Copies the list. */
        public Entries {
            entries = List.copyOf(entries);
        }

        /**
         * Returns whether the entries follow each other without a gap and none is of a later term.
         */
        boolean continuous(long term) {
            Position before = after;
            for (LogEntry entry : entries) {
                Position position = entry.position();
                if (position.index() != before.index() + 1
                        || position.term() < before.term()
                        || position.term() > term) {
                    return false;
                }
                before = position;
            }
            return true;
        }
    }

    /**
     * The replica's last entry is not in the primary's log.
     *
     * @param last last position of the replica
     * @param shared the last position that both logs can share
     */
    record Divergence(Position last, Position shared) implements FetchOutcome {}

    /** The endpoint is not the primary of the stated term. */
    record Rejected(EndpointAnswer.Refused refusal) implements FetchOutcome {}
}
