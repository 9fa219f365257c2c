package org.ragwortmoor.coordination.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.EntryKind;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Snapshot;
import org.ragwortmoor.state.log.StorageCodec;

/** The entries behind the snapshot, in memory, with the configurations among them. */
final class EntryLog {
    /** Term of an index that the log does not contain. */
    static final long UNKNOWN = -1;

    private final List<LogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, Configuration> configurations = new TreeMap<>();
    private Configuration newest = Configuration.EMPTY;
    private List<MemberId> voters = List.of();
    private long baseIndex;
    private long baseTerm;

    EntryLog() {
        configurations.put(0L, Configuration.EMPTY);
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    Position last() {
        return new Position(lastTerm(), lastIndex());
    }

    boolean isBlank() {
        return lastIndex() == 0;
    }

    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index < baseIndex || index > lastIndex()) {
            return UNKNOWN;
        }
        return entry(index).term();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns entries from {@code index} on, at least one if there is one. */
    List<LogEntry> slice(long index, long maxBytes) {
        List<LogEntry> slice = new ArrayList<>();
        long bytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            LogEntry entry = entry(i);
            bytes += entry.payload().size();
            if (!slice.isEmpty() && bytes > maxBytes) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    /** Returns the first index that has the same term as {@code index}. */
    long firstIndexOfTermAt(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    Configuration configuration() {
        return newest;
    }

    /** Returns the voters of {@link #configuration}. */
    List<MemberId> voters() {
        return voters;
    }

    long configurationIndex() {
        return configurations.lastKey();
    }

    Configuration configurationAt(long index) {
        return configurations.floorEntry(index).getValue();
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.position() + " does not follow " + last());
        }
        entries.add(entry);
        if (entry.kind() == EntryKind.CONFIGURATION) {
            configurations.put(entry.index(), StorageCodec.configurationOf(entry));
            refreshNewest();
        }
    }

    void truncateAfter(long index) {
        entries.subList((int) (index - baseIndex), entries.size()).clear();
        configurations.tailMap(index, false).clear();
        refreshNewest();
    }

    /** Drops the entries up to {@code index}, which a snapshot covers. */
    void compactThrough(long index) {
        if (index <= baseIndex) {
            return;
        }
        long term = termAt(index);
        Configuration atIndex = configurationAt(index);
        long configuredAt = configurations.floorKey(index);
        entries.subList(0, (int) (index - baseIndex)).clear();
        configurations.headMap(index, true).clear();
        configurations.put(configuredAt, atIndex);
        baseIndex = index;
        baseTerm = term;
    }

    /** Replaces the whole log with a snapshot. */
    void reset(Snapshot snapshot) {
        entries.clear();
        configurations.clear();
        configurations.put(snapshot.index(), snapshot.configuration());
        refreshNewest();
        baseIndex = snapshot.index();
        baseTerm = snapshot.term();
    }

    private void refreshNewest() {
        newest = configurations.lastEntry().getValue();
        voters = newest.voters();
    }
}
