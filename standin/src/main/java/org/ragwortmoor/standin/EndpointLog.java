package org.ragwortmoor.standin;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;

/** The entries of an endpoint and the tables that follow from them. Not thread safe. */
final class EndpointLog {
    private final Journal journal;
    private final List<LogEntry> entries = new ArrayList<>();
    private final Tables tables = new Tables();
    private TermHistory history = TermHistory.EMPTY;
    private long discarded;

    EndpointLog(Journal journal, List<LogEntry> recovered, long discarded) {
        this.journal = journal;
        this.discarded = discarded;
        recovered.forEach(this::add);
    }

    Tables tables() {
        return tables;
    }

    TermHistory history() {
        return history;
    }

    Position last() {
        return entries.isEmpty() ? Position.ZERO : entries.get(entries.size() - 1).position();
    }

    /** Returns the number of entries that truncations discarded. */
    long discarded() {
        return discarded;
    }

    boolean contains(Position position) {
        return history.contains(last(), position);
    }

    /** Writes an entry of {@code term} behind the last one and returns it. */
    LogEntry write(long term, LogEntry.Content content) {
        LogEntry entry = new LogEntry(new Position(term, last().index() + 1), content);
        append(entry);
        return entry;
    }

    void append(LogEntry entry) {
        journal.appended(entry);
        add(entry);
    }

    private void add(LogEntry entry) {
        Position position = entry.position();
        if (position.term() != last().term()) {
            history = history.with(new TermStart(position.term(), position.index()));
        }
        entries.add(entry);
        tables.apply(entry);
    }

    /** Discards the entries behind {@code lastIndex}. */
    void truncate(long lastIndex) {
        if (lastIndex >= last().index()) {
            return;
        }
        journal.truncated(lastIndex);
        discarded += last().index() - lastIndex;
        entries.subList((int) lastIndex, entries.size()).clear();
        history = history.truncatedTo(lastIndex);
        tables.clear();
        entries.forEach(tables::apply);
    }

    /** Returns entries behind {@code index}, at least one if there is any, up to a size. */
    List<LogEntry> behind(long index, int maxBytes) {
        int end = (int) index;
        long size = 0;
        while (end < entries.size()) {
            size += entries.get(end).sizeBound();
            if (size > maxBytes && end > index) {
                break;
            }
            end++;
        }
        return List.copyOf(entries.subList((int) index, end));
    }

    /**
     * Returns the last position that this log can share with one that ends at {@code other}: the
     * end of the newest term that is not newer than the other log's.
     */
    Position shared(Position other) {
        List<TermStart> starts = history.starts();
        for (int i = starts.size() - 1; i >= 0; i--) {
            TermStart start = starts.get(i);
            if (start.term() <= other.term() && start.index() <= other.index()) {
                long end = i + 1 < starts.size() ? starts.get(i + 1).index() - 1 : last().index();
                return new Position(start.term(), Math.min(end, other.index()));
            }
        }
        return Position.ZERO;
    }
}
