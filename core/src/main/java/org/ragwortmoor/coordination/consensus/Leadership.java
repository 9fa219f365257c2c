package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
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

/** Leader state and replication for one term. */
final class Leadership {
    private final NodeState state;
    private final Map<MemberId, Progress> peers = new LinkedHashMap<>();
    private long firstIndex;
    private long nextHeartbeat;
    private boolean replicationPending;
    private Option<Long> transferDeadline = Option.none();

    Leadership(NodeState state) {
        this.state = state;
    }

    /** Appends the first entry of the term: the given configuration, or a no-op entry if none. */
    void start(Option<Configuration> first) {
        firstIndex = state.log.lastIndex() + 1;
        updatePeers();
        if (first.isDefined()) {
            append(EntryKind.CONFIGURATION, StorageCodec.encode(first.get()).toByteString());
            updatePeers();
        } else {
            append(EntryKind.NOOP, ByteString.EMPTY);
        }
        heartbeat();
    }

    void append(EntryKind kind, ByteString payload) {
        LogEntry entry = new LogEntry(state.term, state.log.lastIndex() + 1, kind, payload);
        state.append(List.of(entry));
        if (kind == EntryKind.CONFIGURATION) {
            updatePeers();
        }
        replicationPending = true;
    }

    /**
     * Sends appended entries after a whole batch of events, so that its commands share messages.
     */
    void replicatePending() {
        if (replicationPending) {
            replicationPending = false;
            peers.values().forEach(this::replicate);
        }
    }

    long firstIndex() {
        return firstIndex;
    }

    long nextHeartbeat() {
        return nextHeartbeat;
    }

    /** Returns whether a leadership transfer is in progress; it is abandoned after its deadline. */
    boolean isTransferring() {
        return transferDeadline.exists(until -> state.now - until < 0);
    }

    void startTransfer() {
        transferDeadline = Option.some(state.now + state.settings.electionMax());
    }

    /** Returns the replication progress of the other members. */
    Map<MemberId, ClusterStatus.MemberProgress> progress() {
        Map<MemberId, ClusterStatus.MemberProgress> progress = new HashMap<>();
        for (Progress peer : peers.values()) {
            progress.put(
                    peer.id,
                    new ClusterStatus.MemberProgress(peer.matchIndex, peer.lastContactAt()));
        }
        return progress;
    }

    Option<Progress> peer(MemberId id) {
        return Option.of(peers.get(id));
    }

    /** Sends a heartbeat to every member; the lease is renewed once a majority has answered. */
    void heartbeat() {
        nextHeartbeat = state.now + state.settings.heartbeat();
        peers.values().forEach(this::sendHeartbeat);
    }

    /** Returns the latest time for which a majority has answered messages sent at or after it. */
    long quorumContactAt() {
        // Compares times by difference, because the origin of the clock is arbitrary.
        return state.now + quorumValue(peer -> peer.contactAt - state.now, 0);
    }

    /**
     * Returns whether the lease is valid: no other leader can have been elected before {@code now}.
     */
    boolean leaseValid(long now) {
        return now - quorumContactAt() < state.settings.lease();
    }

    /** Returns the voters that have not answered within the lease duration. */
    List<MemberId> unresponsiveVoters() {
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
        peer.onContact(response.sentAt());
        if (response.success()) {
            peer.onMatched(response.index());
            advanceCommit();
        } else if (response.previousIndex() > peer.matchIndex
                && response.previousIndex() < peer.nextIndex) {
            peer.startProbing(Math.min(response.index(), response.previousIndex()));
        }
        replicate(peer);
    }

    void onSnapshotAck(ConsensusMessage.SnapshotAck ack) {
        Progress peer = peers.get(ack.from());
        if (peer == null) {
            return;
        }
        peer.onContact(ack.sentAt());
        boolean current =
                peer.snapshotTransfer.exists(t -> t.snapshot().index() == ack.lastIndex());
        if (ack.complete()) {
            peer.snapshotTransfer = current ? Option.none() : peer.snapshotTransfer;
            peer.onMatched(ack.lastIndex());
            advanceCommit();
        } else if (current && peer.snapshotTransfer.get().offset() != ack.nextOffset()) {
            Snapshot snapshot = peer.snapshotTransfer.get().snapshot();
            sendChunk(peer, snapshot, ack.nextOffset());
            return;
        }
        replicate(peer);
    }

    /**
     * Advances the commit index to the highest index that a majority has synced. Entries of earlier
     * terms are committed only together with an entry of the current term, because a later leader
     * could otherwise still replace them.
     */
    void advanceCommit() {
        long majorityIndex = quorumValue(peer -> peer.matchIndex, state.syncedIndex);
        if (majorityIndex > state.commitIndex && state.log.termAt(majorityIndex) == state.term) {
            state.commitIndex = majorityIndex;
        }
        state.apply();
    }

    /** Returns the responsive voter with the highest match index. */
    Option<Progress> transferTarget() {
        Stream<Progress> responsive =
                peers.values().stream()
                        .filter(p -> state.log.configuration().isVoter(p.id))
                        .filter(p -> state.now - p.contactAt < state.settings.lease());
        return Option.ofOptional(responsive.max(Comparator.comparingLong(p -> p.matchIndex)));
    }

    /** Returns the highest value that a majority of the voters has reached. */
    private long quorumValue(ToLongFunction<Progress> value, long ownValue) {
        List<MemberId> voters = state.log.voters();
        long[] values = new long[voters.size()];
        for (int i = 0; i < values.length; i++) {
            MemberId id = voters.get(i);
            values[i] = id.equals(state.self) ? ownValue : value.applyAsLong(peers.get(id));
        }
        Arrays.sort(values);
        return values[(values.length - 1) / 2];
    }

    private void updatePeers() {
        Configuration configuration = state.log.configuration();
        peers.keySet().removeIf(id -> configuration.member(id).isEmpty());
        for (Member member : configuration.members()) {
            if (!member.id().equals(state.self) && !peers.containsKey(member.id())) {
                long expiredContactAt = state.now - state.settings.lease();
                long next = Math.max(firstIndex, state.log.baseIndex() + 1);
                peers.put(member.id(), new Progress(member.id(), next, expiredContactAt));
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
                && peer.hasInflightCapacity(state.settings.inflightBytes())) {
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
            peer.onSent(entries);
        }
    }

    private boolean sendSnapshotIfNeeded(Progress peer) {
        if (peer.snapshotTransfer.isEmpty() && peer.nextIndex > state.log.baseIndex()) {
            return false;
        }
        if (peer.snapshotTransfer.isEmpty()) {
            sendChunk(peer, state.snapshot.get(), 0);
        } else {
            Progress.SnapshotTransfer transfer = peer.snapshotTransfer.get();
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
        peer.snapshotTransfer =
                Option.some(new Progress.SnapshotTransfer(snapshot, start, state.now));
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
