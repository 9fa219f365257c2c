package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.EntryKind;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Recovered;
import org.ragwortmoor.state.log.StorageCodec;

/**
 * A member of the control group: a replicated log as a deterministic state machine.
 *
 * <p>It has no I/O, threads or clock. Every event comes with the current time and yields actions
 * that the host carries out in order. It is not safe for use by several threads at a time.
 */
public final class ConsensusNode {
    private final NodeState state;
    private final Election election;
    private final FollowerReplication follower;
    private Option<Leadership> leadership = Option.none();
    private String lossReason = "";

    /**
     * Creates a node from its durable state.
     *
     * @param random seeded source of election deadlines
     * @param quietSince time since which no process of this member can have answered a leader
     * @param now current time in nanoseconds of the process's monotonic clock
     */
    public ConsensusNode(
            Recovered recovered,
            ConsensusSettings settings,
            RandomGenerator random,
            long quietSince,
            long now) {
        state = new NodeState(recovered, settings, random, quietSince, now);
        election = new Election(state);
        follower = new FollowerReplication(state);
    }

    /**
     * Handles an event.
     *
     * @param now current time in nanoseconds; never before that of an earlier event
     * @return actions, to be carried out in this order
     */
    public List<ConsensusAction> handle(ConsensusEvent event, long now) {
        return handleAll(List.of(event), now);
    }

    /** Handles several events; commands among them share append messages. */
    public List<ConsensusAction> handleAll(List<ConsensusEvent> events, long now) {
        state.now = now;
        for (ConsensusEvent event : events) {
            if (state.role == Role.FAILED) {
                refuseAfterFailure(event);
            } else {
                dispatch(event);
                finish();
            }
        }
        leadership.forEach(Leadership::replicateAppended);
        return state.takeActions();
    }

    private void dispatch(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.Received received) {
            receive(received.message());
        } else if (event instanceof ConsensusEvent.Tick) {
            tick();
        } else if (event instanceof ConsensusEvent.Propose propose) {
            propose(propose);
        } else if (event instanceof ConsensusEvent.ChangeMembership change) {
            changeMembership(change);
        } else if (event instanceof ConsensusEvent.StorageSynced synced) {
            synced(synced.through());
        } else if (event instanceof ConsensusEvent.SnapshotTaken taken) {
            state.snapshotTaken(taken.index(), taken.data());
        } else if (event instanceof ConsensusEvent.TransferLeadership) {
            leadership.forEach(Leadership::stop);
        } else if (event instanceof ConsensusEvent.StorageFailed failed) {
            lossReason = "storage failed: " + failed.reason();
            state.role = Role.FAILED;
            state.leader = Option.none();
        }
    }

    /** Returns the time at which the next {@link ConsensusEvent.Tick} is due. */
    public long nextDeadline() {
        return leadership.map(Leadership::nextHeartbeat).getOrElse(state.electionDeadline);
    }

    /**
     * Returns whether this node leads, no other leader can have been elected until {@code now}, and
     * the state machine contains every entry that was ever committed.
     */
    public boolean leaderReady(long now) {
        return state.role == Role.LEADER
                && leadership.exists(
                        l -> l.leaseValid(now) && state.appliedIndex >= l.firstIndex());
    }

    /** Returns the node's role. */
    public Role role() {
        return state.role;
    }

    /** Returns the newest term that the node has seen. */
    public long term() {
        return state.term;
    }

    /** Returns the leader of the term, if known. */
    public Option<MemberId> leader() {
        return state.leader;
    }

    /** Returns this node's identity. */
    public MemberId self() {
        return state.self;
    }

    /** Returns the newest configuration in the log, which need not be committed. */
    public Configuration configuration() {
        return state.log.configuration();
    }

    /** Returns the last committed index that this node knows. */
    public long commitIndex() {
        return state.commitIndex;
    }

    /** Returns the position of the last entry, which need not be committed. */
    public Position lastPosition() {
        return state.log.last();
    }

    /** Returns what this node knows of the group. */
    public ClusterStatus status(long now) {
        Map<MemberId, ClusterStatus.MemberProgress> progress = new HashMap<>();
        for (Leadership current : leadership) {
            for (Progress peer : current.peers()) {
                progress.put(
                        peer.id,
                        new ClusterStatus.MemberProgress(peer.matchIndex, peer.answeredContact()));
            }
        }
        return new ClusterStatus(
                now,
                leaderReady(now),
                state.self,
                state.log.configuration(),
                state.log.configurationIndex() <= state.commitIndex,
                state.commitIndex,
                progress,
                election.strangers());
    }

    /** Returns the node's state as text lines for the state dump. */
    public String dump(long now) {
        return StateDump.of(state, status(now), follower.waitingFor());
    }

    private void receive(ConsensusMessage message) {
        boolean addressed =
                message.to().node().equals(state.self.node())
                        && (message.to().incarnation() == 0
                                || message.to().incarnation() == state.self.incarnation());
        if (!addressed || message.from().equals(state.self)) {
            return;
        }
        if (message instanceof ConsensusMessage.VoteRequest request) {
            if (leadership.exists(l -> l.leaseValid(state.now))) {
                state.leaderContactAt = state.now;
            }
            election.onRequest(request);
            return;
        }
        if (message.term() > state.term) {
            lossReason = "term " + message.term() + " of " + message.from();
            state.role = Role.FOLLOWER;
            state.leader = Option.none();
            state.saveVote(message.term(), Option.none());
        }
        if (message instanceof ConsensusMessage.VoteResponse response) {
            if (election.onResponse(response)) {
                roundWon();
            }
        } else if (message instanceof ConsensusMessage.AppendRequest request) {
            if (followLeader(request, request.sentAt())) {
                follower.onAppend(request);
            }
        } else if (message instanceof ConsensusMessage.SnapshotChunk chunk) {
            if (followLeader(chunk, chunk.sentAt())) {
                follower.onChunk(chunk);
            }
        } else if (message instanceof ConsensusMessage.TimeoutNow handOver) {
            boolean current = state.leader.contains(handOver.from());
            if (current && handOver.term() == state.term && election.mayCampaign()) {
                standForElection(true);
            }
        } else if (message.term() == state.term) {
            receiveAnswer(message);
        }
    }

    private void receiveAnswer(ConsensusMessage message) {
        for (Leadership current : leadership) {
            if (message instanceof ConsensusMessage.AppendResponse response) {
                current.onAppendResponse(response);
            } else if (message instanceof ConsensusMessage.SnapshotAck ack) {
                current.onSnapshotAck(ack);
            }
        }
    }

    /** Returns whether the message is from the leader of the current term. */
    private boolean followLeader(ConsensusMessage message, long sentAt) {
        if (message.term() < state.term) {
            state.send(
                    new ConsensusMessage.AppendResponse(
                            state.self, message.from(), state.term, false, 0, 0, sentAt));
            return false;
        }
        if (state.role == Role.LEADER) {
            throw new IllegalStateException(
                    message.from() + " and " + state.self + " lead term " + state.term);
        }
        if (!state.leader.contains(message.from())) {
            follower.reset();
        }
        state.role = Role.FOLLOWER;
        state.leader = Option.some(message.from());
        state.leaderContactAt = state.now;
        state.resetElectionDeadline();
        return true;
    }

    private void tick() {
        for (Leadership current : leadership) {
            if (state.now - current.quorumContactAt() >= state.settings.electionMax()) {
                lossReason = "no answer from " + current.silentVoters();
                state.role = Role.FOLLOWER;
                state.leader = Option.none();
                state.resetElectionDeadline();
            } else if (state.now - current.nextHeartbeat() >= 0) {
                current.heartbeat();
            }
            return;
        }
        if (state.now - state.electionDeadline >= 0 && election.startPreVote()) {
            roundWon();
        }
    }

    private void roundWon() {
        if (state.role == Role.PRE_CANDIDATE) {
            standForElection(false);
            return;
        }
        Option<Configuration> first =
                state.log.isBlank() ? Option.some(election.firstConfiguration()) : Option.none();
        state.role = Role.LEADER;
        state.leader = Option.some(state.self);
        Leadership started = new Leadership(state);
        leadership = Option.some(started);
        state.emit(new ConsensusAction.BecameLeader(state.term));
        started.begin(first);
    }

    private void standForElection(boolean handedOver) {
        if (election.startVote(handedOver)) {
            roundWon();
        }
    }

    private void synced(Position through) {
        // A truncation may have replaced what was synced.
        if (state.log.termAt(through.index()) == through.term()) {
            state.syncedIndex = Math.max(state.syncedIndex, through.index());
        }
        if (leadership.isDefined()) {
            leadership.get().advanceCommit();
        } else {
            follower.onSynced();
        }
    }

    private void propose(ConsensusEvent.Propose event) {
        Option<Refusal> refusal = refusal(event.command().size());
        if (refusal.isDefined()) {
            state.emit(new ConsensusAction.Refused(event.tag(), refusal.get()));
            return;
        }
        accept(event.tag(), EntryKind.COMMAND, event.command());
    }

    private void changeMembership(ConsensusEvent.ChangeMembership event) {
        Option<Refusal> refusal = refusal(0);
        if (refusal.isDefined()) {
            state.emit(new ConsensusAction.Refused(event.tag(), refusal.get()));
            return;
        }
        Leadership current = leadership.get();
        Either<Refusal, Configuration> checked =
                new MembershipRules(state, current).check(event.change());
        if (checked.isLeft()) {
            state.emit(new ConsensusAction.Refused(event.tag(), checked.getLeft()));
            return;
        }
        ByteString payload = StorageCodec.encode(checked.get()).toByteString();
        accept(event.tag(), EntryKind.CONFIGURATION, payload);
    }

    /** Acceptance comes before the write: after a failed write the outcome is unknown. */
    private void accept(long tag, EntryKind kind, ByteString payload) {
        Position next = new Position(state.term, state.log.lastIndex() + 1);
        state.emit(new ConsensusAction.Accepted(tag, next));
        leadership.get().append(kind, payload);
    }

    private Option<Refusal> refusal(int bytes) {
        if (leadership.isEmpty()) {
            return refuse(RefusalKind.NOT_LEADER, "this node is " + state.role);
        }
        Leadership current = leadership.get();
        if (current.isStopping()) {
            return refuse(RefusalKind.STOPPING, "this node hands leadership over");
        }
        if (!current.leaseValid(state.now)) {
            return refuse(RefusalKind.NO_QUORUM, "no answer from " + current.silentVoters());
        }
        if (bytes > state.settings.entryBytes()) {
            return refuse(RefusalKind.TOO_LARGE, bytes + " bytes");
        }
        long waiting = state.log.lastIndex() - state.commitIndex;
        if (waiting >= state.settings.uncommittedEntries()) {
            return refuse(RefusalKind.OVERLOADED, waiting + " entries wait");
        }
        return Option.none();
    }

    private Option<Refusal> refuse(RefusalKind kind, String detail) {
        return Option.some(new Refusal(kind, detail, state.leader));
    }

    private void refuseAfterFailure(ConsensusEvent event) {
        Refusal refusal = new Refusal(RefusalKind.STORAGE_FAILED, lossReason, Option.none());
        if (event instanceof ConsensusEvent.Propose propose) {
            state.emit(new ConsensusAction.Refused(propose.tag(), refusal));
        } else if (event instanceof ConsensusEvent.ChangeMembership change) {
            state.emit(new ConsensusAction.Refused(change.tag(), refusal));
        }
    }

    /** Ends leadership when the event has led to it, and hands over when a member has caught up. */
    private void finish() {
        for (Leadership current : leadership) {
            boolean removed =
                    state.log.configurationIndex() <= state.commitIndex
                            && !state.log.configuration().isVoter(state.self);
            if (state.role == Role.LEADER && removed) {
                resign("this node is no voter any more");
            } else if (state.role == Role.LEADER && current.isStopping()) {
                handOver(current);
            }
            if (state.role != Role.LEADER) {
                leadership = Option.none();
                follower.reset();
                state.emit(new ConsensusAction.LostLeadership(state.term, lossReason));
            }
        }
    }

    /** The lease ends with the hand-over, because the successor needs not wait for it. */
    private void handOver(Leadership current) {
        for (Progress successor : current.successor()) {
            if (successor.matchIndex == state.log.lastIndex()) {
                state.send(new ConsensusMessage.TimeoutNow(state.self, successor.id, state.term));
                resign("handed over to " + successor.id);
            }
        }
    }

    private void resign(String reason) {
        lossReason = reason;
        state.role = Role.FOLLOWER;
        state.leader = Option.none();
        state.resetElectionDeadline();
    }
}
