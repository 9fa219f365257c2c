package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Snapshot;

/** Takes entries and snapshots from the leader and answers once they are durable. */
final class FollowerReplication {
    private final NodeState state;
    private Option<ConsensusMessage.AppendRequest> unanswered = Option.none();
    private long verifiedIndex;
    private Option<IncomingSnapshot> incoming = Option.none();

    /** Parts of a snapshot that have arrived in order. */
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

    /** Forgets what belongs to an earlier leader. */
    void reset() {
        unanswered = Option.none();
        incoming = Option.none();
    }

    /** Handles entries of the current leader. */
    void onAppend(ConsensusMessage.AppendRequest request) {
        long previous = request.previousIndex();
        List<LogEntry> entries = request.entries();
        if (previous < state.log.baseIndex()) {
            // Entries up to the base are committed, so they equal the leader's.
            long base = state.log.baseIndex();
            entries = entries.stream().filter(e -> e.index() > base).toList();
            previous = base;
        } else if (state.log.termAt(previous) != request.previousTerm()) {
            reject(request);
            return;
        }
        storeMissing(entries);
        verifiedIndex = previous + entries.size();
        state.commitIndex =
                Math.max(state.commitIndex, Math.min(request.commitIndex(), verifiedIndex));
        state.apply();
        if (state.syncedIndex >= verifiedIndex) {
            answer(request);
        } else {
            unanswered = Option.some(request);
        }
    }

    /** Continues after a sync of the log. */
    void onSynced() {
        state.apply();
        if (state.syncedIndex >= verifiedIndex) {
            unanswered.forEach(this::answer);
            unanswered = Option.none();
        }
    }

    /** Handles a part of a snapshot of the current leader. */
    void onChunk(ConsensusMessage.SnapshotChunk chunk) {
        if (chunk.lastIndex() <= state.commitIndex) {
            if (state.syncedIndex >= chunk.lastIndex()) {
                acknowledge(chunk, 0, true);
            }
            return;
        }
        if (state.log.termAt(chunk.lastIndex()) == chunk.lastTerm()) {
            // The log already has the entry, and what stands behind it may be acknowledged.
            state.commitIndex = chunk.lastIndex();
            state.apply();
            if (state.syncedIndex >= chunk.lastIndex()) {
                acknowledge(chunk, 0, true);
            }
            return;
        }
        if (chunk.offset() == 0) {
            incoming =
                    Option.some(
                            new IncomingSnapshot(
                                    chunk.from(),
                                    chunk.term(),
                                    chunk.lastIndex(),
                                    ByteString.EMPTY));
        }
        if (!incoming.exists(received -> received.accepts(chunk))) {
            acknowledge(chunk, expectedOffset(chunk), false);
            return;
        }
        ByteString data = incoming.get().data().concat(chunk.data());
        if (!chunk.last()) {
            incoming =
                    Option.some(
                            new IncomingSnapshot(
                                    chunk.from(), chunk.term(), chunk.lastIndex(), data));
            acknowledge(chunk, data.size(), false);
            return;
        }
        incoming = Option.none();
        unanswered = Option.none();
        state.install(
                new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.configuration(), data));
        acknowledge(chunk, data.size(), true);
    }

    private long expectedOffset(ConsensusMessage.SnapshotChunk chunk) {
        return incoming.filter(r -> r.term() == chunk.term() && r.lastIndex() == chunk.lastIndex())
                .map(r -> (long) r.data().size())
                .getOrElse(0L);
    }

    private void storeMissing(List<LogEntry> entries) {
        for (int i = 0; i < entries.size(); i++) {
            LogEntry entry = entries.get(i);
            long known = state.log.termAt(entry.index());
            if (known == entry.term()) {
                continue;
            }
            if (known != EntryLog.UNKNOWN) {
                truncateFrom(entry.index());
            }
            state.append(entries.subList(i, entries.size()));
            return;
        }
    }

    private void truncateFrom(long index) {
        if (index <= state.commitIndex) {
            throw new IllegalStateException(
                    "leader replaces committed entry " + index + " in term " + state.term);
        }
        state.log.truncateAfter(index - 1);
        state.syncedIndex = Math.min(state.syncedIndex, index - 1);
        state.emit(new ConsensusAction.TruncateAfter(index - 1));
    }

    private void reject(ConsensusMessage.AppendRequest request) {
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

    private void answer(ConsensusMessage.AppendRequest request) {
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

    private void acknowledge(
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

    /** Returns the position up to which a sync is wanted, for the state dump. */
    Option<Position> waitingFor() {
        return unanswered.map(request -> new Position(request.term(), verifiedIndex));
    }
}
