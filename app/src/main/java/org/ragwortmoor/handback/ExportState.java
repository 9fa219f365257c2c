package org.ragwortmoor.handback;

import java.util.ArrayList;
import java.util.List;

/**
 * How far an export has come; synced after every page.
 *
 * @param partner name of the partner
 * @param rulesVersion version of the rules that the export follows
 * @param orderTime wall-clock time when the version was seen in force everywhere, ISO 8601, UTC
 * @param concurrentWrites whether sessions may write the records during the export
 * @param prefixes one entry per partner line
 */
record ExportState(
        String partner,
        long rulesVersion,
        String orderTime,
        boolean concurrentWrites,
        List<PrefixState> prefixes) {
    /** Name of the file in the folder of the export. */
    static final String FILE = "export-state.json";

    ExportState {
        prefixes = List.copyOf(prefixes);
    }

    /** Returns this state with another state of one prefix. */
    ExportState with(int index, PrefixState prefix) {
        List<PrefixState> changed = new ArrayList<>(prefixes);
        changed.set(index, prefix);
        return new ExportState(partner, rulesVersion, orderTime, concurrentWrites, changed);
    }
}
