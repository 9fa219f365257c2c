package org.ragwortmoor.history;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All that a history says about one record. Confined to one thread. */
final class RecordHistory {
    private final String group;
    private final String key;
    private final List<WriteFact> writes = new ArrayList<>();
    private final Map<String, WriteFact> byValue = new HashMap<>();
    private final List<Seen> reads = new ArrayList<>();
    private boolean counter;
    private boolean deleted;
    private boolean lowered;

    RecordHistory(String group, String key) {
        this.group = group;
        this.key = key;
    }

    void add(WriteFact write) {
        writes.add(write);
        for (Access access : write.operations()) {
            if (access.key().equals(key)) {
                counter |= access.op() == Access.Op.INCREMENT;
                deleted |= access.op() == Access.Op.DELETE;
                lowered |= access.delta() < 0;
                if (access.op() == Access.Op.PUT) {
                    byValue.put(access.value(), write);
                }
            }
        }
    }

    Seen add(HistoryRecord record, String value) {
        Seen seen = new Seen(this, record, value);
        reads.add(seen);
        return seen;
    }

    String name() {
        return key + " of " + group;
    }

    /** Returns whether the record is only incremented. */
    boolean counter() {
        return counter;
    }

    boolean deleted() {
        return deleted;
    }

    /** Returns whether a counter never falls, so that its values show the order of states. */
    boolean rising() {
        return counter && !lowered;
    }

    List<WriteFact> writes() {
        return writes;
    }

    List<Seen> reads() {
        return reads;
    }

    /** Returns the write of a register's value. */
    Option<WriteFact> writer(String value) {
        return Option.of(byValue.get(value));
    }

    /** Returns what a write adds to this counter. */
    long delta(WriteFact write) {
        return write.operations().stream()
                .filter(a -> a.key().equals(key))
                .mapToLong(Access::delta)
                .sum();
    }

    /** Returns the number that a read of a counter returned; none if it is no number. */
    static Option<Long> number(String value) {
        try {
            return Option.of(value == null ? 0L : Long.parseLong(value));
        } catch (NumberFormatException e) {
            return Option.none();
        }
    }

    /** Returns the sum of the increments that were acknowledged before {@code time}. */
    long acknowledgedBefore(long time) {
        return writes.stream()
                .filter(w -> w.outcome() == Outcome.DONE && w.answered() < time)
                .mapToLong(this::delta)
                .sum();
    }
}
