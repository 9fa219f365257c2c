package org.ragwortmoor.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.coordination.consensus.ConsensusMessage;
import org.ragwortmoor.protocol.wire.AppendRequestBody;
import org.ragwortmoor.protocol.wire.AppendResponseBody;
import org.ragwortmoor.protocol.wire.ConsensusEnvelope;
import org.ragwortmoor.protocol.wire.SnapshotAckBody;
import org.ragwortmoor.protocol.wire.SnapshotChunkBody;
import org.ragwortmoor.protocol.wire.TimeoutNowBody;
import org.ragwortmoor.protocol.wire.VoteRequestBody;
import org.ragwortmoor.protocol.wire.VoteResponseBody;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.StorageCodec;
import org.ragwortmoor.state.wire.EntryRecord;

/** Converts consensus messages between control processes to and from protobuf. */
public final class ConsensusCodec {
    private ConsensusCodec() {}

    /** Encodes a message. */
    public static ConsensusEnvelope encode(ConsensusMessage message) {
        ConsensusEnvelope.Builder envelope =
                ConsensusEnvelope.newBuilder()
                        .setFrom(StorageCodec.encode(message.from()))
                        .setTo(StorageCodec.encode(message.to()))
                        .setTerm(message.term());
        if (message instanceof ConsensusMessage.VoteRequest m) {
            envelope.setVoteRequest(
                    VoteRequestBody.newBuilder()
                            .setPreVote(m.preVote())
                            .setTransfer(m.transfer())
                            .setLastIndex(m.lastIndex())
                            .setLastTerm(m.lastTerm())
                            .addAllInitialNodes(m.initialNodes()));
        } else if (message instanceof ConsensusMessage.VoteResponse m) {
            envelope.setVoteResponse(
                    VoteResponseBody.newBuilder()
                            .setRequestTerm(m.requestTerm())
                            .setPreVote(m.preVote())
                            .setGranted(m.granted()));
        } else if (message instanceof ConsensusMessage.AppendRequest m) {
            envelope.setAppendRequest(
                    AppendRequestBody.newBuilder()
                            .setPreviousIndex(m.previousIndex())
                            .setPreviousTerm(m.previousTerm())
                            .setCommitIndex(m.commitIndex())
                            .setSentAt(m.sentAt())
                            .addAllEntries(
                                    m.entries().stream().map(StorageCodec::encode).toList()));
        } else if (message instanceof ConsensusMessage.AppendResponse m) {
            envelope.setAppendResponse(
                    AppendResponseBody.newBuilder()
                            .setSuccess(m.success())
                            .setIndex(m.index())
                            .setPreviousIndex(m.previousIndex())
                            .setSentAt(m.sentAt()));
        } else if (message instanceof ConsensusMessage.SnapshotChunk m) {
            envelope.setSnapshotChunk(
                    SnapshotChunkBody.newBuilder()
                            .setLastIndex(m.lastIndex())
                            .setLastTerm(m.lastTerm())
                            .setConfiguration(StorageCodec.encode(m.configuration()))
                            .setOffset(m.offset())
                            .setData(m.data())
                            .setLast(m.last())
                            .setSentAt(m.sentAt()));
        } else if (message instanceof ConsensusMessage.SnapshotAck m) {
            envelope.setSnapshotAck(
                    SnapshotAckBody.newBuilder()
                            .setLastIndex(m.lastIndex())
                            .setNextOffset(m.nextOffset())
                            .setComplete(m.complete())
                            .setSentAt(m.sentAt()));
        } else {
            envelope.setTimeoutNow(TimeoutNowBody.getDefaultInstance());
        }
        return envelope.build();
    }

    /**
     * Decodes a message.
     *
     * @return the message, or the reason why it must be dropped
     */
    public static Either<String, ConsensusMessage> decode(ConsensusEnvelope envelope) {
        MemberId from = StorageCodec.decode(envelope.getFrom());
        MemberId to = StorageCodec.decode(envelope.getTo());
        if (from.node().isEmpty() || from.incarnation() == 0 || to.node().isEmpty()) {
            return Either.left("message without sender, incarnation or receiver");
        }
        long term = envelope.getTerm();
        return switch (envelope.getBodyCase()) {
            case VOTE_REQUEST -> Either.right(decode(from, to, term, envelope.getVoteRequest()));
            case VOTE_RESPONSE -> Either.right(decode(from, to, term, envelope.getVoteResponse()));
            case APPEND_REQUEST -> decode(from, to, term, envelope.getAppendRequest());
            case APPEND_RESPONSE ->
                    Either.right(decode(from, to, term, envelope.getAppendResponse()));
            case SNAPSHOT_CHUNK ->
                    Either.right(decode(from, to, term, envelope.getSnapshotChunk()));
            case SNAPSHOT_ACK -> Either.right(decode(from, to, term, envelope.getSnapshotAck()));
            case TIMEOUT_NOW -> Either.right(new ConsensusMessage.TimeoutNow(from, to, term));
            case BODY_NOT_SET -> Either.left("message of an unknown kind from " + from);
        };
    }

    /**
     * Decodes a message from its serialized form.
     *
     * @return the message, or the reason why it must be dropped
     */
    public static Either<String, ConsensusMessage> decode(byte[] bytes) {
        try {
            return decode(ConsensusEnvelope.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            return Either.left("not a consensus message: " + e.getMessage());
        }
    }

    private static ConsensusMessage decode(
            MemberId from, MemberId to, long term, VoteRequestBody body) {
        return new ConsensusMessage.VoteRequest(
                from,
                to,
                term,
                body.getPreVote(),
                body.getTransfer(),
                body.getLastIndex(),
                body.getLastTerm(),
                body.getInitialNodesList());
    }

    private static ConsensusMessage decode(
            MemberId from, MemberId to, long term, VoteResponseBody body) {
        return new ConsensusMessage.VoteResponse(
                from, to, term, body.getRequestTerm(), body.getPreVote(), body.getGranted());
    }

    private static Either<String, ConsensusMessage> decode(
            MemberId from, MemberId to, long term, AppendRequestBody body) {
        List<LogEntry> entries = new ArrayList<>(body.getEntriesCount());
        long expected = body.getPreviousIndex() + 1;
        for (EntryRecord entry : body.getEntriesList()) {
            try {
                entries.add(StorageCodec.decode(entry));
            } catch (InvalidProtocolBufferException e) {
                return Either.left("entry " + entry.getIndex() + ": " + e.getMessage());
            }
            if (entry.getIndex() != expected++) {
                return Either.left("entry " + entry.getIndex() + " is out of order");
            }
        }
        return Either.right(
                new ConsensusMessage.AppendRequest(
                        from,
                        to,
                        term,
                        body.getPreviousIndex(),
                        body.getPreviousTerm(),
                        body.getCommitIndex(),
                        body.getSentAt(),
                        entries));
    }

    private static ConsensusMessage decode(
            MemberId from, MemberId to, long term, AppendResponseBody body) {
        return new ConsensusMessage.AppendResponse(
                from,
                to,
                term,
                body.getSuccess(),
                body.getIndex(),
                body.getPreviousIndex(),
                body.getSentAt());
    }

    private static ConsensusMessage decode(
            MemberId from, MemberId to, long term, SnapshotChunkBody body) {
        return new ConsensusMessage.SnapshotChunk(
                from,
                to,
                term,
                body.getLastIndex(),
                body.getLastTerm(),
                StorageCodec.decode(body.getConfiguration()),
                body.getOffset(),
                body.getData(),
                body.getLast(),
                body.getSentAt());
    }

    private static ConsensusMessage decode(
            MemberId from, MemberId to, long term, SnapshotAckBody body) {
        return new ConsensusMessage.SnapshotAck(
                from,
                to,
                term,
                body.getLastIndex(),
                body.getNextOffset(),
                body.getComplete(),
                body.getSentAt());
    }
}
