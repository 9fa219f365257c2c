package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import java.util.List;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;

/**
 * A message between control processes. Both ends are named with their incarnation, so that neither
 * a message nor an answer of a lost disk is taken for one of its successor.
 */
public sealed interface ConsensusMessage {
    /** Returns the sender. */
    MemberId from();

    /** Returns the receiver; incarnation 0 addresses whichever incarnation the node has. */
    MemberId to();

    /** Returns the sender's term, or the wanted term of a vote request. */
    long term();

    /**
     * Asks for a vote.
     *
     * @param preVote asks only whether a vote would be granted
     * @param transfer the leader has handed over, so its recent contact is no reason to refuse
     * @param lastIndex last index of the candidate's log; 0 while the group is being formed
     * @param lastTerm term of that entry
     * @param initialNodes initial node ids in ascending order, if the candidate's log is empty
     */
    record VoteRequest(
            MemberId from,
            MemberId to,
            long term,
            boolean preVote,
            boolean transfer,
            long lastIndex,
            long lastTerm,
            List<String> initialNodes)
            implements ConsensusMessage {
        /** Copies the list. */
        public VoteRequest {
            initialNodes = List.copyOf(initialNodes);
        }
    }

    /**
     * Answers a vote request.
     *
     * @param requestTerm term of the request
     * @param preVote whether the request was a pre-vote
     */
    record VoteResponse(
            MemberId from,
            MemberId to,
            long term,
            long requestTerm,
            boolean preVote,
            boolean granted)
            implements ConsensusMessage {}

    /**
     * Replicates entries; without entries it is a heartbeat.
     *
     * @param previousIndex index before the first entry
     * @param previousTerm term of the entry at that index
     * @param sentAt the leader's time, returned in the answer
     */
    record AppendRequest(
            MemberId from,
            MemberId to,
            long term,
            long previousIndex,
            long previousTerm,
            long commitIndex,
            long sentAt,
            List<LogEntry> entries)
            implements ConsensusMessage {
        /** Copies the list. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an append request.
     *
     * @param success whether the log contained the previous entry
     * @param index last index that is synced and equal to the leader's log, or without success the
     *     next index to try
     * @param previousIndex {@code previousIndex} of the request
     * @param sentAt {@code sentAt} of the request
     */
    record AppendResponse(
            MemberId from,
            MemberId to,
            long term,
            boolean success,
            long index,
            long previousIndex,
            long sentAt)
            implements ConsensusMessage {}

    /**
     * Sends a part of a snapshot.
     *
     * @param lastIndex last index that the snapshot includes
     * @param offset byte offset of the part
     * @param last whether the part ends the snapshot
     */
    record SnapshotChunk(
            MemberId from,
            MemberId to,
            long term,
            long lastIndex,
            long lastTerm,
            Configuration configuration,
            long offset,
            ByteString data,
            boolean last,
            long sentAt)
            implements ConsensusMessage {}

    /**
     * Answers a part of a snapshot.
     *
     * @param nextOffset offset of the next part that the receiver needs
     * @param complete whether the receiver durably holds everything up to {@code lastIndex}
     */
    record SnapshotAck(
            MemberId from,
            MemberId to,
            long term,
            long lastIndex,
            long nextOffset,
            boolean complete,
            long sentAt)
            implements ConsensusMessage {}

    /** Hands leadership over: the receiver stands for election at once. */
    record TimeoutNow(MemberId from, MemberId to, long term) implements ConsensusMessage {}
}
