package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import org.ragwortmoor.state.Position;

/** An input of {@link ConsensusNode}. */
public sealed interface ConsensusEvent {
    /** A message has arrived. */
    record Received(ConsensusMessage message) implements ConsensusEvent {}

    /** Time has passed; due at {@link ConsensusNode#nextDeadline}. */
    record Tick() implements ConsensusEvent {}

    /**
     * A command for the replicated state machine.
     *
     * @param tag returned in the answer
     */
    record Propose(long tag, ByteString command) implements ConsensusEvent {}

    /**
     * A change of the configuration.
     *
     * @param tag returned in the answer
     */
    record ChangeMembership(long tag, MembershipChange change) implements ConsensusEvent {}

    /** The log is durable up to the entry at this position. */
    record StorageSynced(Position through) implements ConsensusEvent {}

    /** A write has failed; the node takes no further part until a restart. */
    record StorageFailed(String reason) implements ConsensusEvent {}

    /**
     * The state machine's state after the entry at {@code index}.
     *
     * @param index an applied index
     */
    record SnapshotTaken(long index, ByteString data) implements ConsensusEvent {}

    /** A planned stop: a leader hands over to the member that is furthest. */
    record TransferLeadership() implements ConsensusEvent {}
}
