package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.endpoint.ReadRecord;

/**
 * The records of a scan result that a session may read.
 *
 * <p>Each returned record is decided separately, because a prefix can cover records of several
 * partners and records without a partner. An answer that omits records must state so with {@link
 * #withheld()} and {@link #refusal()}. A paged scan must continue after the last key that the
 * endpoint returned, not after the last visible one.
 *
 * @param visible records that the session may read, in the order of the scan
 * @param withheld number of records that the session may not read
 * @param refusal decision on the first withheld record
 */
public record ScanDecision(List<ReadRecord> visible, int withheld, Option<Decision> refusal) {
    /** Copies the list. */
    public ScanDecision {
        visible = List.copyOf(visible);
    }

    /** Returns whether the session may read every record. */
    public boolean complete() {
        return withheld == 0;
    }
}
