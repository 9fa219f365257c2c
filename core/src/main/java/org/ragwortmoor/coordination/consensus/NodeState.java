package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Recovered;
import org.ragwortmoor.state.log.Snapshot;
import org.ragwortmoor.state.log.Vote;

/** State shared by the components of a {@link ConsensusNode}, and its pending actions. */
final class NodeState {
    /**
     * After a snapshot, at most a quarter of the entries and bytes between snapshots is kept in
     * memory.
     */
    private static final int RETAINED_LOG_DIVISOR = 4;

    final MemberId self;
    final ConsensusSettings settings;
    final EntryLog log = new EntryLog();
    private final RandomGenerator random;
    private List<ConsensusAction> actions = new ArrayList<>();

    long now;
    long term;
    Option<MemberId> votedFor;
    Role role = Role.FOLLOWER;
    Option<MemberId> leader = Option.none();
    Option<Snapshot> snapshot;
    long commitIndex;
    long appliedIndex;
    long syncedIndex;
    long leaderContactAt;
    long electionDeadline;
    // Index of the snapshot that was requested and has not been taken yet, or 0.
    long pendingSnapshotIndex;
    private long bytesSinceSnapshot;

    NodeState(
            Recovered recovered,
            ConsensusSettings settings,
            RandomGenerator random,
            long lastPossibleContactAt,
            long now) {
        this.self = recovered.identity();
        this.settings = settings;
        this.random = random;
        this.now = now;
        this.term = recovered.vote().term();
        this.votedFor = recovered.vote().candidate();
        this.snapshot = recovered.snapshot();
        snapshot.forEach(log::reset);
        recovered.entries().forEach(log::append);
        commitIndex = log.baseIndex();
        appliedIndex = log.baseIndex();
        syncedIndex = log.lastIndex();
        // The time of the last leader contact is lost in a restart while the leader's lease may
        // still be valid. No earlier process can have had contact after this time.
        leaderContactAt = lastPossibleContactAt;
        long earliest = Math.max(now, lastPossibleContactAt + settings.electionMin());
        electionDeadline =
                earliest + random.nextLong(settings.electionMax() - settings.electionMin() + 1);
    }

    void emit(ConsensusAction action) {
        actions.add(action);
    }

    void send(ConsensusMessage message) {
        actions.add(new ConsensusAction.Send(message));
    }

    List<ConsensusAction> drainActions() {
        List<ConsensusAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    void resetElectionDeadline() {
        electionDeadline =
                now + random.nextLong(settings.electionMin(), settings.electionMax() + 1);
    }

    /** Returns whether contact with a leader is too recent for a vote for another candidate. */
    boolean hasRecentLeaderContact() {
        return now - leaderContactAt < settings.electionMin();
    }

    void saveVote(long newTerm, Option<MemberId> candidate) {
        term = newTerm;
        votedFor = candidate;
        emit(new ConsensusAction.SaveVote(new Vote(newTerm, candidate)));
    }

    void append(List<LogEntry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        entries.forEach(log::append);
        emit(new ConsensusAction.Append(List.copyOf(entries)));
        emit(new ConsensusAction.SyncLog(log.last()));
    }

    /** Applies entries that are committed and locally synced; requests a snapshot if one is due. */
    void apply() {
        long end = Math.min(commitIndex, syncedIndex);
        while (appliedIndex < end) {
            appliedIndex++;
            LogEntry entry = log.entry(appliedIndex);
            bytesSinceSnapshot += entry.payload().size();
            emit(new ConsensusAction.Apply(entry));
        }
        boolean due =
                appliedIndex - snapshotIndex() >= settings.snapshotEntries()
                        || bytesSinceSnapshot >= settings.snapshotBytes();
        if (due && pendingSnapshotIndex == 0) {
            pendingSnapshotIndex = appliedIndex;
            emit(new ConsensusAction.TakeSnapshot(appliedIndex));
        }
    }

    long snapshotIndex() {
        return snapshot.map(Snapshot::index).getOrElse(0L);
    }

    void snapshotTaken(long index, ByteString data) {
        pendingSnapshotIndex = 0;
        if (index <= snapshotIndex() || index > appliedIndex) {
            return;
        }
        Snapshot taken = new Snapshot(index, log.termAt(index), log.configurationAt(index), data);
        snapshot = Option.some(taken);
        emit(new ConsensusAction.SaveSnapshot(taken, false));
        bytesSinceSnapshot = 0;
        log.compactThrough(firstRetainedIndex(index) - 1);
    }

    /** Replaces log and state with a snapshot received from the leader. */
    void installSnapshot(Snapshot received) {
        snapshot = Option.some(received);
        emit(new ConsensusAction.SaveSnapshot(received, true));
        emit(new ConsensusAction.InstallSnapshot(received));
        log.reset(received);
        commitIndex = received.index();
        appliedIndex = received.index();
        syncedIndex = received.index();
        pendingSnapshotIndex = 0;
        bytesSinceSnapshot = 0;
    }

    /**
     * Returns the first index to keep in memory after a snapshot. Some entries that the snapshot
     * contains are kept, so that a slow member can catch up without a snapshot transfer.
     */
    private long firstRetainedIndex(long index) {
        long first = index + 1;
        long bytes = 0;
        while (first - 1 > log.baseIndex()
                && index - first + 1 < settings.snapshotEntries() / RETAINED_LOG_DIVISOR) {
            bytes += log.entry(first - 1).payload().size();
            if (bytes > settings.snapshotBytes() / RETAINED_LOG_DIVISOR) {
                break;
            }
            first--;
        }
        return first;
    }
}
