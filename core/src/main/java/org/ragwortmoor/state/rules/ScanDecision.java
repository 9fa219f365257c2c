package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.endpoint.ReadRecord;

/**
 * What a session may see of the records that a scan returned.
 *
 * <p>A scan is decided on every record that it returned, because a prefix can cover records of
 * several partners and of none. An answer with fewer records than were found must say so: pass on
 * {@link #withheld()} and the {@link #refusal()}, and continue a paged scan behind the last key
 * that the endpoint returned, not behind the last visible one.
 *
 * @param visible records that the session may read, in the order of the scan
 * @param withheld number of records that it may not read
 * @param refusal decision on the first of these
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
