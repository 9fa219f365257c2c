package org.ragwortmoor.coordination.consensus;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.Snapshot;
import org.ragwortmoor.state.log.Vote;

/**
 * An output of {@link ConsensusNode}. The host executes actions in the given order. After a failed
 * write it discards the remaining actions, because a message depends on the writes before it.
 */
public sealed interface ConsensusAction {
    /** Sends a message; it may be lost, delayed or duplicated. */
    record Send(ConsensusMessage message) implements ConsensusAction {}

    /** Appends entries to the log file; they are durable only after {@link SyncLog}. */
    record Append(List<LogEntry> entries) implements ConsensusAction {}

    /** Durably removes the entries after {@code index}. */
    record TruncateAfter(long index) implements ConsensusAction {}

    /** Syncs the log and then reports {@link ConsensusEvent.StorageSynced} with this position. */
    record SyncLog(Position through) implements ConsensusAction {}

    /** Durably saves the current term and vote. */
    record SaveVote(Vote vote) implements ConsensusAction {}

    /**
     * Durably saves a snapshot.
     *
     * @param resetLog whether the snapshot replaces the whole log
     */
    record SaveSnapshot(Snapshot snapshot, boolean resetLog) implements ConsensusAction {}

    /** Replaces the contents of the state machine with a snapshot. */
    record InstallSnapshot(Snapshot snapshot) implements ConsensusAction {}

    /** Applies a committed entry, which may be of any kind. */
    record Apply(LogEntry entry) implements ConsensusAction {}

    /**
     * Requests a snapshot of the state after {@code index}, reported as {@link
     * ConsensusEvent.SnapshotTaken}.
     */
    record TakeSnapshot(long index) implements ConsensusAction {}

    /**
     * The node won an election; it may serve requests only once {@link ConsensusNode#leaderReady}
     * returns true.
     */
    record BecameLeader(long term) implements ConsensusAction {}

    /** The node is no longer leader. */
    record LostLeadership(long term, String reason) implements ConsensusAction {}

    /**
     * A proposal is about to be appended. It is committed if an entry of this term is applied at
     * this index, and can never be committed if an entry of another term is applied there. Until
     * then its outcome is unknown, even after a failed write.
     */
    record Accepted(long tag, Position position) implements ConsensusAction {}

    /** A proposal was not appended and will never be applied. */
    record Refused(long tag, Refusal refusal) implements ConsensusAction {}
}
