package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import org.ragwortmoor.state.Position;

/** An input of {@link ConsensusNode}. */
public sealed interface ConsensusEvent {
    /** A message was received. */
    record Received(ConsensusMessage message) implements ConsensusEvent {}

    /** A timer event, due at {@link ConsensusNode#nextDeadline}. */
    record Tick() implements ConsensusEvent {}

    /**
     * Proposes a command for the replicated state machine.
     *
     * @param tag identifies the proposal in {@link ConsensusAction.Accepted} and {@link
     *     ConsensusAction.Refused}
     */
    record Propose(long tag, ByteString command) implements ConsensusEvent {}

    /**
     * Proposes a change of the configuration.
     *
     * @param tag identifies the proposal in {@link ConsensusAction.Accepted} and {@link
     *     ConsensusAction.Refused}
     */
    record ChangeMembership(long tag, MembershipChange change) implements ConsensusEvent {}

    /** The log is synced up to and including the entry at this position. */
    record StorageSynced(Position through) implements ConsensusEvent {}

    /** A write failed; the node stops participating until its process restarts. */
    record StorageFailed(String reason) implements ConsensusEvent {}

    /**
     * A snapshot of the state machine after the entry at {@code index}.
     *
     * @param index an index that has been applied
     */
    record SnapshotTaken(long index, ByteString data) implements ConsensusEvent {}

    /**
     * Contacts all members without waiting for the next heartbeat, so that {@link
     * ConsensusNode#quorumContactAt} advances; has no effect on a node that does not lead.
     */
    record ConfirmLeadership() implements ConsensusEvent {}

    /** A planned stop: a leader transfers leadership to the most up-to-date responsive voter. */
    record TransferLeadership() implements ConsensusEvent {}
}
