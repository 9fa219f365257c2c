package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import java.util.List;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;

/**
 * A message between the members of a consensus group. Sender and receiver are identified with their
 * incarnations, so that a message from or to a lost disk is not attributed to its replacement.
 */
public sealed interface ConsensusMessage {
    /** Returns the sender. */
    MemberId from();

    /** Returns the receiver; incarnation 0 addresses any incarnation of the node. */
    MemberId to();

    /** Returns the sender's term; in a vote request, the term of the election. */
    long term();

    /**
     * Requests a vote.
     *
     * @param preVote whether this only asks if a vote would be granted
     * @param transfer whether the leader has transferred leadership, so that recent contact with it
     *     is no reason to refuse
     * @param lastIndex last index of the candidate's log; 0 while the group is being formed
     * @param lastTerm term of that entry
     * @param initialNodes ids of the initial nodes in ascending order if the candidate's log is
     *     empty, otherwise an empty list
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
        /** Makes a defensive copy of the list. */
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
     * @param previousIndex index that precedes the first entry
     * @param previousTerm term of the entry at that index
     * @param sentAt send time on the leader's clock, returned in the response
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
        /** Makes a defensive copy of the list. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an append request.
     *
     * @param success whether the log contained the previous entry
     * @param index on success, the highest index that is synced and matches the leader's log;
     *     otherwise the next index to try
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
     * Sends one chunk of a snapshot.
     *
     * @param lastIndex index of the last entry that the snapshot includes
     * @param offset byte offset of the chunk
     * @param last whether this is the final chunk
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
     * Answers a snapshot chunk.
     *
     * @param nextOffset byte offset of the next chunk that the receiver needs
     * @param complete whether the receiver has durably stored everything up to {@code lastIndex}
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

    /** Transfers leadership: the receiver starts an election immediately. */
    record TimeoutNow(MemberId from, MemberId to, long term) implements ConsensusMessage {}
}
