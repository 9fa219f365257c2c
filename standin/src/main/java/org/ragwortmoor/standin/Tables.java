package org.ragwortmoor.standin;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The records and outcomes that follow from applying a log in order. Not thread safe. */
final class Tables {
    private final NavigableMap<String, String> records = new TreeMap<>();

    /** Index of the entry that last changed a key; removed records keep theirs. */
    private final NavigableMap<String, Long> changedAt = new TreeMap<>();

    private final Map<String, Outcome> outcomes = new HashMap<>();

    void apply(LogEntry entry) {
        if (entry.content() instanceof LogEntry.Written written) {
            for (Change change : written.changes()) {
                changedAt.put(change.key(), entry.position().index());
                if (change.value().isDefined()) {
                    records.put(change.key(), change.value().get());
                } else {
                    records.remove(change.key());
                }
            }
            String key = written.identity().key();
            outcomes.put(key, outcome(key).executedBy(entry));
        } else if (entry.content() instanceof LogEntry.Cancelled cancelled) {
            String key = cancelled.identity().key();
            outcomes.put(
                    key, outcome(key).cancelled(cancelled.identity().attempt(), entry.position()));
        }
    }

    void clear() {
        records.clear();
        changedAt.clear();
        outcomes.clear();
    }

    Option<String> get(String key) {
        return Option.of(records.get(key));
    }

    /** Returns the records from {@code prefix} on whose keys are greater than {@code after}. */
    NavigableMap<String, String> from(String prefix, String after) {
        return after.compareTo(prefix) >= 0
                ? records.tailMap(after, false)
                : records.tailMap(prefix, true);
    }

    Outcome outcome(String key) {
        return outcomes.getOrDefault(key, Outcome.NONE);
    }

    boolean changedSince(String key, long index) {
        return changedAt.getOrDefault(key, 0L) > index;
    }

    boolean rangeChangedSince(String prefix, long index) {
        for (Map.Entry<String, Long> entry : changedAt.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                return false;
            }
            if (entry.getValue() > index) {
                return true;
            }
        }
        return false;
    }
}
