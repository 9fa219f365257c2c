package org.ragwortmoor.coordination.consensus;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.Snapshot;
import org.ragwortmoor.state.log.Vote;

/**
 * An output of {@link ConsensusNode}. The host carries actions out in the given order, and drops
 * the rest of them after a failed write: a message depends on the writes before it.
 */
public sealed interface ConsensusAction {
    /** Sends a message; it may be lost, delayed or duplicated. */
    record Send(ConsensusMessage message) implements ConsensusAction {}

    /** Appends entries to the log file, not yet durably. */
    record Append(List<LogEntry> entries) implements ConsensusAction {}

    /** Removes the entries behind {@code index} durably. */
    record TruncateAfter(long index) implements ConsensusAction {}

    /** Syncs the log and reports {@link ConsensusEvent.StorageSynced} with this position. */
    record SyncLog(Position through) implements ConsensusAction {}

    /** Saves the vote durably. */
    record SaveVote(Vote vote) implements ConsensusAction {}

    /**
     * Saves a snapshot durably.
     *
     * @param resetLog whether it replaces the whole log
     */
    record SaveSnapshot(Snapshot snapshot, boolean resetLog) implements ConsensusAction {}

    /** Replaces the state of the state machine. */
    record InstallSnapshot(Snapshot snapshot) implements ConsensusAction {}

    /** Applies a committed entry of any kind. */
    record Apply(LogEntry entry) implements ConsensusAction {}

    /** Asks for {@link ConsensusEvent.SnapshotTaken} with the state after {@code index}. */
    record TakeSnapshot(long index) implements ConsensusAction {}

    /** The node was elected; it serves only once {@link ConsensusNode#leaderReady}. */
    record BecameLeader(long term) implements ConsensusAction {}

    /** The node no longer leads. */
    record LostLeadership(long term, String reason) implements ConsensusAction {}

    /**
     * A proposal is about to be appended. It is committed if an entry of this term is applied at
     * this index, and will never be if an entry of another term is. Until then its outcome is
     * unknown, also after a failed write.
     */
    record Accepted(long tag, Position position) implements ConsensusAction {}

    /** A proposal was not appended and will never be applied. */
    record Refused(long tag, Refusal refusal) implements ConsensusAction {}
}
