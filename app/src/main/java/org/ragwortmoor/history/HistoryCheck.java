package org.ragwortmoor.history;

import java.util.List;

/** One check of a history. */
interface HistoryCheck {
    /** Returns what the history violates. */
    List<Violation> check(HistoryIndex index);
}
