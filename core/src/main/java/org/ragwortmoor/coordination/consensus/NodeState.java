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

/** State that the parts of a {@link ConsensusNode} share, and the actions of the current event. */
final class NodeState {
    /** Entries of a quarter of the distance between snapshots stay in memory. */
    private static final int RETAINED_SHARE = 4;

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
    // Index of the snapshot that was asked for and has not been taken yet, or 0.
    long snapshotWanted;
    private long bytesSinceSnapshot;

    NodeState(
            Recovered recovered,
            ConsensusSettings settings,
            RandomGenerator random,
            long quietSince,
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
        // A restarted node forgets when it last heard the leader, whose lease may still be valid,
        // but its former process can have heard nothing after this one started.
        leaderContactAt = quietSince;
        long earliest = Math.max(now, quietSince + settings.electionMin());
        electionDeadline =
                earliest + random.nextLong(settings.electionMax() - settings.electionMin() + 1);
    }

    void emit(ConsensusAction action) {
        actions.add(action);
    }

    void send(ConsensusMessage message) {
        actions.add(new ConsensusAction.Send(message));
    }

    List<ConsensusAction> takeActions() {
        List<ConsensusAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    void resetElectionDeadline() {
        electionDeadline =
                now + random.nextLong(settings.electionMin(), settings.electionMax() + 1);
    }

    /** Returns whether this voter has heard a leader too recently to help another candidate. */
    boolean heardLeaderRecently() {
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

    /** Applies what is committed and durable here, and asks for a snapshot when one is due. */
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
        if (due && snapshotWanted == 0) {
            snapshotWanted = appliedIndex;
            emit(new ConsensusAction.TakeSnapshot(appliedIndex));
        }
    }

    long snapshotIndex() {
        return snapshot.map(Snapshot::index).getOrElse(0L);
    }

    void snapshotTaken(long index, ByteString data) {
        snapshotWanted = 0;
        if (index <= snapshotIndex() || index > appliedIndex) {
            return;
        }
        Snapshot taken = new Snapshot(index, log.termAt(index), log.configurationAt(index), data);
        snapshot = Option.some(taken);
        emit(new ConsensusAction.SaveSnapshot(taken, false));
        bytesSinceSnapshot = 0;
        log.compactThrough(firstRetained(index) - 1);
    }

    /** Replaces log and state with a snapshot that the leader has sent. */
    void install(Snapshot received) {
        snapshot = Option.some(received);
        emit(new ConsensusAction.SaveSnapshot(received, true));
        emit(new ConsensusAction.InstallSnapshot(received));
        log.reset(received);
        commitIndex = received.index();
        appliedIndex = received.index();
        syncedIndex = received.index();
        snapshotWanted = 0;
        bytesSinceSnapshot = 0;
    }

    /** Some entries before a snapshot stay in memory, so that a slow member needs no snapshot. */
    private long firstRetained(long index) {
        long first = index + 1;
        long bytes = 0;
        while (first - 1 > log.baseIndex()
                && index - first + 1 < settings.snapshotEntries() / RETAINED_SHARE) {
            bytes += log.entry(first - 1).payload().size();
            if (bytes > settings.snapshotBytes() / RETAINED_SHARE) {
                break;
            }
            first--;
        }
        return first;
    }
}
