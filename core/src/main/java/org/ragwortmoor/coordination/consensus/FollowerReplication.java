package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Snapshot;

/** Receives entries and snapshots from the leader and acknowledges them once they are durable. */
final class FollowerReplication {
    private final NodeState state;
    private Option<ConsensusMessage.AppendRequest> pendingRequest = Option.none();
    private long verifiedIndex;
    private Option<IncomingSnapshot> incomingSnapshot = Option.none();

    /** The chunks of a snapshot that have been received in order so far. */
    private record IncomingSnapshot(MemberId from, long term, long lastIndex, ByteString data) {
        boolean accepts(ConsensusMessage.SnapshotChunk chunk) {
            return from.equals(chunk.from())
                    && term == chunk.term()
                    && lastIndex == chunk.lastIndex()
                    && data.size() == chunk.offset();
        }
    }

    FollowerReplication(NodeState state) {
        this.state = state;
    }

    /** Discards the pending acknowledgement and partial snapshot of an earlier leader. */
    void reset() {
        pendingRequest = Option.none();
        incomingSnapshot = Option.none();
    }

    /** Handles an append request of the current leader. */
    void onAppend(ConsensusMessage.AppendRequest request) {
        long previous = request.previousIndex();
        List<LogEntry> entries = request.entries();
        if (previous < state.log.baseIndex()) {
            // Entries up to the base index are committed and therefore match the leader's log.
            long base = state.log.baseIndex();
            entries = entries.stream().filter(e -> e.index() > base).toList();
            previous = base;
        } else if (state.log.termAt(previous) != request.previousTerm()) {
            sendRejection(request);
            return;
        }
        appendMissing(entries);
        verifiedIndex = previous + entries.size();
        state.commitIndex =
                Math.max(state.commitIndex, Math.min(request.commitIndex(), verifiedIndex));
        state.apply();
        if (state.syncedIndex >= verifiedIndex) {
            sendSuccess(request);
        } else {
            pendingRequest = Option.some(request);
        }
    }

    /** Applies entries and sends a pending acknowledgement after a sync of the log. */
    void onSynced() {
        state.apply();
        if (state.syncedIndex >= verifiedIndex) {
            pendingRequest.forEach(this::sendSuccess);
            pendingRequest = Option.none();
        }
    }

    /** Handles a snapshot chunk of the current leader. */
    void onChunk(ConsensusMessage.SnapshotChunk chunk) {
        if (chunk.lastIndex() <= state.commitIndex) {
            if (state.syncedIndex >= chunk.lastIndex()) {
                sendSnapshotAck(chunk, 0, true);
            }
            return;
        }
        if (state.log.termAt(chunk.lastIndex()) == chunk.lastTerm()) {
            // The log already contains the last entry of the snapshot. It must not be replaced,
            // because later entries may have been acknowledged.
            state.commitIndex = chunk.lastIndex();
            state.apply();
            if (state.syncedIndex >= chunk.lastIndex()) {
                sendSnapshotAck(chunk, 0, true);
            }
            return;
        }
        if (chunk.offset() == 0) {
            incomingSnapshot =
                    Option.some(
                            new IncomingSnapshot(
                                    chunk.from(),
                                    chunk.term(),
                                    chunk.lastIndex(),
                                    ByteString.EMPTY));
        }
        if (!incomingSnapshot.exists(received -> received.accepts(chunk))) {
            sendSnapshotAck(chunk, expectedOffset(chunk), false);
            return;
        }
        ByteString data = incomingSnapshot.get().data().concat(chunk.data());
        if (!chunk.last()) {
            incomingSnapshot =
                    Option.some(
                            new IncomingSnapshot(
                                    chunk.from(), chunk.term(), chunk.lastIndex(), data));
            sendSnapshotAck(chunk, data.size(), false);
            return;
        }
        incomingSnapshot = Option.none();
        pendingRequest = Option.none();
        state.installSnapshot(
                new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.configuration(), data));
        sendSnapshotAck(chunk, data.size(), true);
    }

    private long expectedOffset(ConsensusMessage.SnapshotChunk chunk) {
        return incomingSnapshot
                .filter(r -> r.term() == chunk.term() && r.lastIndex() == chunk.lastIndex())
                .map(r -> (long) r.data().size())
                .getOrElse(0L);
    }

    private void appendMissing(List<LogEntry> entries) {
        for (int i = 0; i < entries.size(); i++) {
            LogEntry entry = entries.get(i);
            long known = state.log.termAt(entry.index());
            if (known == entry.term()) {
                continue;
            }
            if (known != EntryLog.UNKNOWN_TERM) {
                truncateFrom(entry.index());
            }
            state.append(entries.subList(i, entries.size()));
            return;
        }
    }

    private void truncateFrom(long index) {
        if (index <= state.commitIndex) {
            throw new IllegalStateException(
                    "leader of term " + state.term + " replaces committed entry " + index);
        }
        state.log.truncateAfter(index - 1);
        state.syncedIndex = Math.min(state.syncedIndex, index - 1);
        state.emit(new ConsensusAction.TruncateAfter(index - 1));
    }

    private void sendRejection(ConsensusMessage.AppendRequest request) {
        long previous = request.previousIndex();
        long next =
                previous > state.log.lastIndex()
                        ? state.log.lastIndex() + 1
                        : Math.max(state.commitIndex + 1, state.log.firstIndexOfTermAt(previous));
        state.send(
                new ConsensusMessage.AppendResponse(
                        state.self,
                        request.from(),
                        state.term,
                        false,
                        next,
                        previous,
                        request.sentAt()));
    }

    private void sendSuccess(ConsensusMessage.AppendRequest request) {
        state.send(
                new ConsensusMessage.AppendResponse(
                        state.self,
                        request.from(),
                        state.term,
                        true,
                        verifiedIndex,
                        request.previousIndex(),
                        request.sentAt()));
    }

    private void sendSnapshotAck(
            ConsensusMessage.SnapshotChunk chunk, long nextOffset, boolean complete) {
        state.send(
                new ConsensusMessage.SnapshotAck(
                        state.self,
                        chunk.from(),
                        state.term,
                        chunk.lastIndex(),
                        nextOffset,
                        complete,
                        chunk.sentAt()));
    }

    /**
     * Returns the position that must be synced before the pending append request is acknowledged.
     */
    Option<Position> pendingPosition() {
        return pendingRequest.map(request -> new Position(request.term(), verifiedIndex));
    }
}
