package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.EntryKind;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Snapshot;
import org.ragwortmoor.state.log.StorageCodec;

/** A leader's side of replication in one term. */
final class Leadership {
    private final NodeState state;
    private final Map<MemberId, Progress> peers = new LinkedHashMap<>();
    private long firstIndex;
    private long nextHeartbeat;
    private boolean appended;
    private Option<Long> stoppingUntil = Option.none();

    Leadership(NodeState state) {
        this.state = state;
    }

    /** Writes the first entry of the term; a first configuration if the log is empty. */
    void begin(Option<Configuration> first) {
        firstIndex = state.log.lastIndex() + 1;
        trackMembers();
        if (first.isDefined()) {
            append(EntryKind.CONFIGURATION, StorageCodec.encode(first.get()).toByteString());
            trackMembers();
        } else {
            append(EntryKind.NOOP, ByteString.EMPTY);
        }
        heartbeat();
    }

    void append(EntryKind kind, ByteString payload) {
        LogEntry entry = new LogEntry(state.term, state.log.lastIndex() + 1, kind, payload);
        state.append(List.of(entry));
        if (kind == EntryKind.CONFIGURATION) {
            trackMembers();
        }
        appended = true;
    }

    /** Sends what was appended, so that the commands of one batch share their messages. */
    void replicateAppended() {
        if (appended) {
            appended = false;
            peers.values().forEach(this::replicate);
        }
    }

    long firstIndex() {
        return firstIndex;
    }

    long nextHeartbeat() {
        return nextHeartbeat;
    }

    /** Returns whether leadership is being handed over; given up if no member catches up. */
    boolean isStopping() {
        return stoppingUntil.exists(until -> state.now - until < 0);
    }

    void stop() {
        stoppingUntil = Option.some(state.now + state.settings.electionMax());
    }

    Collection<Progress> peers() {
        return peers.values();
    }

    Option<Progress> peer(MemberId id) {
        return Option.of(peers.get(id));
    }

    /** Sends a message to every member, which renews the lease when a majority answers. */
    void heartbeat() {
        nextHeartbeat = state.now + state.settings.heartbeat();
        peers.values().forEach(this::sendHeartbeat);
    }

    /** Returns the latest time at which messages were sent that a majority has answered. */
    long quorumContactAt() {
        // Times are compared by their distance, because the clock may have any origin.
        return state.now + majorityOf(peer -> peer.contactAt - state.now, 0);
    }

    /** Returns whether no other leader can have been elected until {@code now}. */
    boolean leaseValid(long now) {
        return now - quorumContactAt() < state.settings.lease();
    }

    /** Returns voters that have not answered within a lease. */
    List<MemberId> silentVoters() {
        return peers.values().stream()
                .filter(p -> state.log.configuration().isVoter(p.id))
                .filter(p -> state.now - p.contactAt >= state.settings.lease())
                .map(p -> p.id)
                .toList();
    }

    void onAppendResponse(ConsensusMessage.AppendResponse response) {
        Progress peer = peers.get(response.from());
        if (peer == null) {
            return;
        }
        peer.contact(response.sentAt());
        if (response.success()) {
            peer.matched(response.index());
            advanceCommit();
        } else if (response.previousIndex() > peer.matchIndex
                && response.previousIndex() < peer.nextIndex) {
            peer.probeFrom(Math.min(response.index(), response.previousIndex()));
        }
        replicate(peer);
    }

    void onSnapshotAck(ConsensusMessage.SnapshotAck ack) {
        Progress peer = peers.get(ack.from());
        if (peer == null) {
            return;
        }
        peer.contact(ack.sentAt());
        boolean current = peer.transfer.exists(t -> t.snapshot().index() == ack.lastIndex());
        if (ack.complete()) {
            peer.transfer = current ? Option.none() : peer.transfer;
            peer.matched(ack.lastIndex());
            advanceCommit();
        } else if (current && peer.transfer.get().offset() != ack.nextOffset()) {
            Snapshot snapshot = peer.transfer.get().snapshot();
            sendChunk(peer, snapshot, ack.nextOffset());
            return;
        }
        replicate(peer);
    }

    /**
     * Commits what a majority has synced. Entries of earlier terms commit only together with one of
     * the current term: a later leader could still replace them otherwise.
     */
    void advanceCommit() {
        long majorityIndex = majorityOf(peer -> peer.matchIndex, state.syncedIndex);
        if (majorityIndex > state.commitIndex && state.log.termAt(majorityIndex) == state.term) {
            state.commitIndex = majorityIndex;
        }
        state.apply();
    }

    /** Returns the voter with the longest log among those that answer, to hand over to. */
    Option<Progress> successor() {
        Stream<Progress> live =
                peers.values().stream()
                        .filter(p -> state.log.configuration().isVoter(p.id))
                        .filter(p -> state.now - p.contactAt < state.settings.lease());
        return Option.ofOptional(live.max(Comparator.comparingLong(p -> p.matchIndex)));
    }

    /** Returns the largest value that a majority of the voters has reached. */
    private long majorityOf(ToLongFunction<Progress> value, long own) {
        List<MemberId> voters = state.log.voters();
        long[] values = new long[voters.size()];
        for (int i = 0; i < values.length; i++) {
            MemberId id = voters.get(i);
            values[i] = id.equals(state.self) ? own : value.applyAsLong(peers.get(id));
        }
        Arrays.sort(values);
        return values[(values.length - 1) / 2];
    }

    private void trackMembers() {
        Configuration configuration = state.log.configuration();
        peers.keySet().removeIf(id -> configuration.member(id).isEmpty());
        for (Member member : configuration.members()) {
            if (!member.id().equals(state.self) && !peers.containsKey(member.id())) {
                long neverHeard = state.now - state.settings.lease();
                long next = Math.max(firstIndex, state.log.baseIndex() + 1);
                peers.put(member.id(), new Progress(member.id(), next, neverHeard));
            }
        }
    }

    private void sendHeartbeat(Progress peer) {
        if (sendSnapshotIfNeeded(peer)) {
            return;
        }
        List<LogEntry> entries =
                peer.probing
                        ? state.log.slice(peer.nextIndex, state.settings.batchBytes())
                        : List.of();
        sendAppend(peer, entries);
        replicate(peer);
    }

    private void replicate(Progress peer) {
        if (sendSnapshotIfNeeded(peer)) {
            return;
        }
        if (peer.probing) {
            if (!peer.probeSent) {
                sendAppend(peer, state.log.slice(peer.nextIndex, state.settings.batchBytes()));
            }
            return;
        }
        while (peer.nextIndex <= state.log.lastIndex()
                && peer.hasRoom(state.settings.inflightBytes())) {
            sendAppend(peer, state.log.slice(peer.nextIndex, state.settings.batchBytes()));
        }
    }

    private void sendAppend(Progress peer, List<LogEntry> entries) {
        long previous = peer.nextIndex - 1;
        state.send(
                new ConsensusMessage.AppendRequest(
                        state.self,
                        peer.id,
                        state.term,
                        previous,
                        state.log.termAt(previous),
                        state.commitIndex,
                        state.now,
                        entries));
        if (peer.probing) {
            peer.probeSent = true;
        } else {
            peer.sent(entries);
        }
    }

    private boolean sendSnapshotIfNeeded(Progress peer) {
        if (peer.transfer.isEmpty() && peer.nextIndex > state.log.baseIndex()) {
            return false;
        }
        if (peer.transfer.isEmpty()) {
            sendChunk(peer, state.snapshot.get(), 0);
        } else {
            Progress.Transfer transfer = peer.transfer.get();
            if (state.now - transfer.sentAt() >= state.settings.heartbeat()) {
                sendChunk(peer, transfer.snapshot(), transfer.offset());
            }
        }
        return true;
    }

    private void sendChunk(Progress peer, Snapshot snapshot, long offset) {
        int size = snapshot.data().size();
        int start = (int) Math.min(offset, size);
        int end = Math.min(size, start + state.settings.chunkBytes());
        peer.transfer = Option.some(new Progress.Transfer(snapshot, start, state.now));
        state.send(
                new ConsensusMessage.SnapshotChunk(
                        state.self,
                        peer.id,
                        state.term,
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.configuration(),
                        start,
                        snapshot.data().substring(start, end),
                        end == size,
                        state.now));
    }
}
