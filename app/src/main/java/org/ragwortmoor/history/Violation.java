package org.ragwortmoor.history;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A broken promise.
 *
 * @param kind what was broken
 * @param explanation what was expected and what was seen
 * @param records records of the history concerned
 */
public record Violation(ViolationKind kind, String explanation, List<HistoryRecord> records) {
    /** A message stays readable with this many quoted records. */
    private static final int MAX_QUOTED = 8;

    /** Copies the list. */
    public Violation {
        records = List.copyOf(records);
    }

    /** Returns the explanation with the records concerned, one per line. */
    public String message() {
        String quoted =
                records.stream()
                        .distinct()
                        .limit(MAX_QUOTED)
                        .map(r -> "\n    " + HistoryFile.line(r))
                        .collect(Collectors.joining());
        long more = records.stream().distinct().count() - MAX_QUOTED;
        return kind
                + ": "
                + explanation
                + quoted
                + (more > 0 ? "\n    and " + more + " more records" : "");
    }
}
