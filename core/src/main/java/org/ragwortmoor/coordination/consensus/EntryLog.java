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

/**
 * The log in memory: the entries after the base index and the configurations among them. A snapshot
 * contains the entries up to the base index.
 */
final class EntryLog {
    /** Result of {@link #termAt} for an index that the log does not contain. */
    static final long UNKNOWN_TERM = -1;

    private final List<LogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, Configuration> configurations = new TreeMap<>();
    private Configuration latest = Configuration.EMPTY;
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

    /** Returns whether the log has never contained an entry, in memory or in a snapshot. */
    boolean isEmpty() {
        return lastIndex() == 0;
    }

    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index < baseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return entry(index).term();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /**
     * Returns entries starting at {@code index}, limited to {@code maxBytes} of payload but at
     * least one entry if there is any.
     */
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

    /** Returns the first index in memory of the run of entries with the term of {@code index}. */
    long firstIndexOfTermAt(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    Configuration configuration() {
        return latest;
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
            updateLatestConfiguration();
        }
    }

    void truncateAfter(long index) {
        entries.subList((int) (index - baseIndex), entries.size()).clear();
        configurations.tailMap(index, false).clear();
        updateLatestConfiguration();
    }

    /** Discards the entries up to and including {@code index}, which a snapshot contains. */
    void compactThrough(long index) {
        if (index <= baseIndex) {
            return;
        }
        long term = termAt(index);
        Configuration atIndex = configurationAt(index);
        long baseConfigurationIndex = configurations.floorKey(index);
        entries.subList(0, (int) (index - baseIndex)).clear();
        configurations.headMap(index, true).clear();
        configurations.put(baseConfigurationIndex, atIndex);
        baseIndex = index;
        baseTerm = term;
    }

    /** Discards all entries and continues after the snapshot. */
    void reset(Snapshot snapshot) {
        entries.clear();
        configurations.clear();
        configurations.put(snapshot.index(), snapshot.configuration());
        updateLatestConfiguration();
        baseIndex = snapshot.index();
        baseTerm = snapshot.term();
    }

    private void updateLatestConfiguration() {
        latest = configurations.lastEntry().getValue();
        voters = latest.voters();
    }
}
