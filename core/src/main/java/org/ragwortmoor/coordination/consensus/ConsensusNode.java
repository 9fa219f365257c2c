package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
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
 * One member of a consensus group: a Raft-style replicated log as a deterministic state machine.
 *
 * <p>It has no I/O, threads or clock. Every event is passed in with the current time and returns
 * actions that the host executes in order. Not thread-safe.
 */
public final class ConsensusNode {
    private final NodeState state;
    private final Election election;
    private final FollowerReplication follower;
    private Option<Leadership> leadership = Option.none();
    private String stepDownReason = "";

    /**
     * Creates a node from its durable state.
     *
     * @param random seeded source of randomness for election timeouts
     * @param lastPossibleContactAt see {@link ReplicatedLog#open}
     * @param now current time in nanoseconds of the process's monotonic clock
     */
    public ConsensusNode(
            Recovered recovered,
            ConsensusSettings settings,
            RandomGenerator random,
            long lastPossibleContactAt,
            long now) {
        state = new NodeState(recovered, settings, random, lastPossibleContactAt, now);
        election = new Election(state);
        follower = new FollowerReplication(state);
    }

    /**
     * Handles an event.
     *
     * @param now current time in nanoseconds; must not decrease between events
     * @return actions to execute in this order
     */
    public List<ConsensusAction> handle(ConsensusEvent event, long now) {
        return handleAll(List.of(event), now);
    }

    /** Handles a batch of events; its commands are replicated in shared append messages. */
    public List<ConsensusAction> handleAll(List<ConsensusEvent> events, long now) {
        state.now = now;
        for (ConsensusEvent event : events) {
            if (state.role == Role.FAILED) {
                refuseAfterFailure(event);
            } else {
                dispatch(event);
                updateLeadership();
            }
        }
        leadership.forEach(Leadership::replicatePending);
        return state.drainActions();
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
            onSynced(synced.through());
        } else if (event instanceof ConsensusEvent.SnapshotTaken taken) {
            state.snapshotTaken(taken.index(), taken.data());
        } else if (event instanceof ConsensusEvent.ConfirmLeadership) {
            leadership.forEach(Leadership::heartbeat);
        } else if (event instanceof ConsensusEvent.TransferLeadership) {
            leadership.forEach(Leadership::startTransfer);
        } else if (event instanceof ConsensusEvent.StorageFailed failed) {
            stepDownReason = "storage failed: " + failed.reason();
            state.role = Role.FAILED;
            state.leader = Option.none();
        }
    }

    /** Returns the time at which the next {@link ConsensusEvent.Tick} is due. */
    public long nextDeadline() {
        return leadership.map(Leadership::nextHeartbeat).getOrElse(state.electionDeadline);
    }

    /**
     * Returns whether this node is leader with a lease that is valid at {@code now}, and its state
     * machine contains every committed entry. Reads may then be served from local state.
     */
    public boolean leaderReady(long now) {
        return state.role == Role.LEADER
                && leadership.exists(
                        l -> l.leaseValid(now) && state.appliedIndex >= l.firstIndex());
    }

    /**
     * Returns the latest time for which a majority has answered messages that this node sent as
     * leader at or after it; none if this node does not lead.
     */
    public Option<Long> quorumContactAt() {
        return leadership.filter(l -> state.role == Role.LEADER).map(Leadership::quorumContactAt);
    }

    /** Returns the node's role. */
    public Role role() {
        return state.role;
    }

    /** Returns the highest term that this node has seen. */
    public long term() {
        return state.term;
    }

    /** Returns the leader of the current term, if known. */
    public Option<MemberId> leader() {
        return state.leader;
    }

    /** Returns this node's identity. */
    public MemberId self() {
        return state.self;
    }

    /** Returns the latest configuration in the log, which may be uncommitted. */
    public Configuration configuration() {
        return state.log.configuration();
    }

    /** Returns the highest index that this node knows to be committed. */
    public long commitIndex() {
        return state.commitIndex;
    }

    /** Returns the position of the last entry, which may be uncommitted. */
    public Position lastPosition() {
        return state.log.last();
    }

    /** Returns this node's view of the group. */
    public ClusterStatus status(long now) {
        return new ClusterStatus(
                now,
                leaderReady(now),
                state.self,
                state.log.configuration(),
                state.log.configurationIndex() <= state.commitIndex,
                state.commitIndex,
                leadership.map(Leadership::progress).getOrElse(Map.of()),
                election.nonMembers());
    }

    /** Returns this node's state as lines of text for the state dump. */
    public String dump(long now) {
        return StateDump.of(state, status(now), follower.pendingPosition());
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
            stepDownReason = "received higher term " + message.term() + " from " + message.from();
            state.role = Role.FOLLOWER;
            state.leader = Option.none();
            state.saveVote(message.term(), Option.none());
        }
        if (message instanceof ConsensusMessage.VoteResponse response) {
            if (election.onResponse(response)) {
                advanceElection();
            }
        } else if (message instanceof ConsensusMessage.AppendRequest request) {
            if (acceptLeader(request, request.sentAt())) {
                follower.onAppend(request);
            }
        } else if (message instanceof ConsensusMessage.SnapshotChunk chunk) {
            if (acceptLeader(chunk, chunk.sentAt())) {
                follower.onChunk(chunk);
            }
        } else if (message instanceof ConsensusMessage.TimeoutNow timeoutNow) {
            boolean current = state.leader.contains(timeoutNow.from());
            if (current && timeoutNow.term() == state.term && election.mayCampaign()) {
                startElection(true);
            }
        } else if (message.term() == state.term) {
            receiveResponse(message);
        }
    }

    private void receiveResponse(ConsensusMessage message) {
        for (Leadership current : leadership) {
            if (message instanceof ConsensusMessage.AppendResponse response) {
                current.onAppendResponse(response);
            } else if (message instanceof ConsensusMessage.SnapshotAck ack) {
                current.onSnapshotAck(ack);
            }
        }
    }

    /** Processes a message of a leader; returns whether it is of the current term. */
    private boolean acceptLeader(ConsensusMessage message, long sentAt) {
        if (message.term() < state.term) {
            state.send(
                    new ConsensusMessage.AppendResponse(
                            state.self, message.from(), state.term, false, 0, 0, sentAt));
            return false;
        }
        if (state.role == Role.LEADER) {
            throw new IllegalStateException(
                    message.from() + " and " + state.self + " both lead term " + state.term);
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
                stepDownReason = "no response from " + current.unresponsiveVoters();
                state.role = Role.FOLLOWER;
                state.leader = Option.none();
                state.resetElectionDeadline();
            } else if (state.now - current.nextHeartbeat() >= 0) {
                current.heartbeat();
            }
            return;
        }
        if (state.now - state.electionDeadline >= 0 && election.startPreVote()) {
            advanceElection();
        }
    }

    private void advanceElection() {
        if (state.role == Role.PRE_CANDIDATE) {
            startElection(false);
            return;
        }
        Option<Configuration> first =
                state.log.isEmpty() ? Option.some(election.firstConfiguration()) : Option.none();
        state.role = Role.LEADER;
        state.leader = Option.some(state.self);
        Leadership started = new Leadership(state);
        leadership = Option.some(started);
        state.emit(new ConsensusAction.BecameLeader(state.term));
        started.start(first);
    }

    private void startElection(boolean leadershipTransfer) {
        if (election.startVote(leadershipTransfer)) {
            advanceElection();
        }
    }

    private void onSynced(Position through) {
        // The synced entry may have been truncated and replaced in the meantime.
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
        Option<Refusal> refusal = checkProposal(event.command().size());
        if (refusal.isDefined()) {
            state.emit(new ConsensusAction.Refused(event.tag(), refusal.get()));
            return;
        }
        accept(event.tag(), EntryKind.COMMAND, event.command());
    }

    private void changeMembership(ConsensusEvent.ChangeMembership event) {
        Option<Refusal> refusal = checkProposal(0);
        if (refusal.isDefined()) {
            state.emit(new ConsensusAction.Refused(event.tag(), refusal.get()));
            return;
        }
        Leadership current = leadership.get();
        Either<Refusal, Configuration> validated =
                new MembershipChangeValidator(state, current).validate(event.change());
        if (validated.isLeft()) {
            state.emit(new ConsensusAction.Refused(event.tag(), validated.getLeft()));
            return;
        }
        ByteString payload = StorageCodec.encode(validated.get()).toByteString();
        accept(event.tag(), EntryKind.CONFIGURATION, payload);
    }

    /** Reports acceptance before the write, because a failed write leaves the outcome unknown. */
    private void accept(long tag, EntryKind kind, ByteString payload) {
        Position next = new Position(state.term, state.log.lastIndex() + 1);
        state.emit(new ConsensusAction.Accepted(tag, next));
        leadership.get().append(kind, payload);
    }

    private Option<Refusal> checkProposal(int bytes) {
        if (leadership.isEmpty()) {
            return refuse(RefusalKind.NOT_LEADER, "this node has role " + state.role);
        }
        Leadership current = leadership.get();
        if (current.isTransferring()) {
            return refuse(RefusalKind.STOPPING, "this node is transferring leadership");
        }
        if (!current.leaseValid(state.now)) {
            return refuse(
                    RefusalKind.NO_QUORUM, "no response from " + current.unresponsiveVoters());
        }
        if (bytes > state.settings.entryBytes()) {
            return refuse(RefusalKind.TOO_LARGE, "command has " + bytes + " bytes");
        }
        long waiting = state.log.lastIndex() - state.commitIndex;
        if (waiting >= state.settings.uncommittedEntries()) {
            return refuse(RefusalKind.OVERLOADED, waiting + " entries are uncommitted");
        }
        return Option.none();
    }

    private Option<Refusal> refuse(RefusalKind kind, String detail) {
        return Option.some(new Refusal(kind, detail, state.leader));
    }

    private void refuseAfterFailure(ConsensusEvent event) {
        Refusal refusal = new Refusal(RefusalKind.STORAGE_FAILED, stepDownReason, Option.none());
        if (event instanceof ConsensusEvent.Propose propose) {
            state.emit(new ConsensusAction.Refused(propose.tag(), refusal));
        } else if (event instanceof ConsensusEvent.ChangeMembership change) {
            state.emit(new ConsensusAction.Refused(change.tag(), refusal));
        }
    }

    /** Completes a pending leadership transfer, and ends leadership if this node lost its role. */
    private void updateLeadership() {
        for (Leadership current : leadership) {
            boolean removed =
                    state.log.configurationIndex() <= state.commitIndex
                            && !state.log.configuration().isVoter(state.self);
            if (state.role == Role.LEADER && removed) {
                stepDown("this node is no longer a voter");
            } else if (state.role == Role.LEADER && current.isTransferring()) {
                transferLeadership(current);
            }
            if (state.role != Role.LEADER) {
                leadership = Option.none();
                follower.reset();
                state.emit(new ConsensusAction.LostLeadership(state.term, stepDownReason));
            }
        }
    }

    /** Ends the lease with the transfer, because the target does not wait until it expires. */
    private void transferLeadership(Leadership current) {
        for (Progress target : current.transferTarget()) {
            if (target.matchIndex == state.log.lastIndex()) {
                state.send(new ConsensusMessage.TimeoutNow(state.self, target.id, state.term));
                stepDown("leadership transferred to " + target.id);
            }
        }
    }

    private void stepDown(String reason) {
        stepDownReason = reason;
        state.role = Role.FOLLOWER;
        state.leader = Option.none();
        state.resetElectionDeadline();
    }
}
