package org.ragwortmoor.directory;

import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ragwortmoor.coordination.consensus.ConsensusAction;
import org.ragwortmoor.coordination.consensus.ConsensusEvent;
import org.ragwortmoor.coordination.consensus.ConsensusSettings;
import org.ragwortmoor.coordination.consensus.MembershipChange;
import org.ragwortmoor.coordination.consensus.Refusal;
import org.ragwortmoor.coordination.consensus.ReplicatedLog;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.log.FileStorage;
import org.ragwortmoor.state.log.LogSettings;
import org.ragwortmoor.state.log.StorageError;
import org.ragwortmoor.state.log.StorageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The replicated log of a directory process and its pending proposals. */
final class DirectoryLog implements AutoCloseable {
    /** Interval between a leader's messages; about 100 round trips between failure domains. */
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    /** Minimum election timeout: four heartbeat intervals. */
    private static final long MIN_ELECTION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(320);

    /** Maximum election timeout; the range makes simultaneous candidates unlikely. */
    private static final long MAX_ELECTION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(560);

    /**
     * Time for which a leader without responses from a majority remains leader; about a fifth
     * shorter than the minimum election timeout.
     */
    private static final long LEADER_LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Entries between snapshots; a day has a few hundred changes. */
    private static final long SNAPSHOT_ENTRIES = 2_000;

    private static final Logger LOG = LoggerFactory.getLogger(DirectoryLog.class);

    private final FileStorage storage;
    private final ReplicatedLog log;
    private final DirectoryStateMachine machine;
    private final Listener listener;
    private final Map<Long, PendingProposal> pendingProposals = new HashMap<>();
    private final SuspensionDetector suspensionDetector =
            new SuspensionDetector(System.nanoTime(), System.currentTimeMillis());
    private Position lastApplied = Position.ZERO;

    /** Receives messages to send, leadership changes and applied commands. */
    interface Listener {
        /** Sends a message to another member. */
        void send(ConsensusAction.Send send);

        /** Called when the process is elected leader. */
        void elected(long term);

        /** Called when the process loses leadership. */
        void deposed(String reason);

        /** Called after a command was committed and applied. */
        void applied(DirectoryCommand command, long index);
    }

    private record PendingProposal(long term, Consumer<Boolean> done) {}

    private DirectoryLog(
            FileStorage storage,
            ReplicatedLog log,
            DirectoryStateMachine machine,
            Listener listener) {
        this.storage = storage;
        this.log = log;
        this.machine = machine;
        this.listener = listener;
    }

    /**
     * Opens the log in the data folder, or returns the error. A damaged folder is emptied first.
     *
     * @param closedSince time since which no log of this member has been open, in nanoseconds
     */
    static Either<StorageError, DirectoryLog> open(
            DirectorySettings settings,
            MemberAddresses addresses,
            long closedSince,
            Listener listener) {
        Either<StorageError, DirectoryLog> opened =
                tryOpen(settings, addresses, closedSince, listener);
        if (opened.isRight()) {
            return opened;
        }
        Either<StorageError, Boolean> discarded =
                DataFolder.discardIfDamaged(settings.dataFolder(), opened.getLeft());
        return discarded.isRight()
                ? tryOpen(settings, addresses, closedSince, listener)
                : Either.left(discarded.getLeft());
    }

    private static Either<StorageError, DirectoryLog> tryOpen(
            DirectorySettings settings,
            MemberAddresses addresses,
            long closedSince,
            Listener listener) {
        FileStorage storage = null;
        try {
            storage =
                    DataFolder.open(settings.dataFolder(), settings.bootstrap(), settings.seeds());
            io.vavr.collection.Map<String, String> founders = LinkedHashMap.empty();
            for (String node : DataFolder.founders(storage)) {
                founders = founders.put(node, addresses.of(node));
            }
            DirectoryStateMachine machine = new DirectoryStateMachine();
            RandomGenerator random = new SplittableRandom(seed(settings.controlAddress()));
            Either<StorageError, ReplicatedLog> log =
                    ReplicatedLog.open(
                            storage,
                            settings.controlAddress().toString(),
                            random::nextLong,
                            LogSettings.DEFAULT,
                            ConsensusSettings.defaults(founders.toJavaMap())
                                    .withTimes(
                                            HEARTBEAT_INTERVAL_NANOS,
                                            MIN_ELECTION_TIMEOUT_NANOS,
                                            MAX_ELECTION_TIMEOUT_NANOS,
                                            LEADER_LEASE_NANOS)
                                    .withSnapshotEntries(SNAPSHOT_ENTRIES),
                            machine,
                            random,
                            closedSince,
                            System.nanoTime());
            if (log.isLeft()) {
                storage.close();
                return Either.left(log.getLeft());
            }
            log.get().notices().forEach(n -> LOG.warn("event=recovery notice=\"{}\"", n));
            return Either.right(new DirectoryLog(storage, log.get(), machine, listener));
        } catch (StorageException e) {
            if (storage != null) {
                storage.close();
            }
            return Either.left(e.error());
        }
    }

    /**
     * Returns a seed that differs between processes and starts, for incarnations and election
     * timeouts. A secure random generator is not needed, and loading one would delay the start.
     */
    private static long seed(Address self) {
        long time = System.currentTimeMillis() * TimeUnit.MILLISECONDS.toNanos(1);
        return (time ^ System.nanoTime()) + ((long) self.hashCode() << Integer.SIZE);
    }

    ReplicatedLog log() {
        return log;
    }

    DirectoryState state() {
        return machine.state();
    }

    /**
     * Returns whether this process leads and no other process can have been elected. After a
     * suspension it leads again only once a majority has answered a later message.
     */
    boolean leads() {
        long now = System.nanoTime();
        long contactAt = log.node().quorumContactAt().getOrElse(now);
        boolean running =
                suspensionDetector.runningSince(contactAt, now, System.currentTimeMillis());
        return running && log.leaderReady(now);
    }

    /**
     * Returns the latest time for which a majority has answered messages that this process sent as
     * leader at or after it; none if it does not lead, see {@link #leads}.
     */
    Option<Long> quorumContactAt() {
        return leads() ? log.node().quorumContactAt() : Option.none();
    }

    /** Passes an event to the log and performs the resulting actions. */
    void handle(ConsensusEvent event) {
        perform(log.handle(event, System.nanoTime()));
    }

    /**
     * Proposes a command.
     *
     * @param done receives true if the command was committed. False does not exclude a commit: a
     *     deposed leader does not know the outcome of its pending proposals
     */
    void propose(DirectoryCommand command, Consumer<Boolean> done) {
        Either<Refusal, ReplicatedLog.Proposed> proposed =
                log.propose(DirectoryCodec.encode(command), System.nanoTime());
        if (proposed.isLeft()) {
            LOG.info(
                    "event=proposal_refused command={} reason=\"{}\"",
                    command.getClass().getSimpleName(),
                    proposed.getLeft().message());
            done.accept(false);
            return;
        }
        Position position = proposed.get().position();
        pendingProposals.put(position.index(), new PendingProposal(position.term(), done));
        perform(proposed.get().actions());
    }

    /** Proposes a membership change; once committed it is visible in the configuration. */
    void proposeMembershipChange(MembershipChange change) {
        Either<Refusal, ReplicatedLog.Proposed> proposed = log.change(change, System.nanoTime());
        LOG.info(
                "event=membership_change change=\"{}\" outcome=\"{}\"",
                change,
                proposed.fold(Refusal::message, p -> "proposed at " + p.position()));
        proposed.peek(p -> perform(p.actions()));
    }

    private void perform(List<ConsensusAction> actions) {
        for (ConsensusAction action : actions) {
            if (action instanceof ConsensusAction.Send send) {
                listener.send(send);
            } else if (action instanceof ConsensusAction.BecameLeader became) {
                listener.elected(became.term());
            } else if (action instanceof ConsensusAction.LostLeadership lost) {
                failPendingProposals();
                listener.deposed(lost.reason());
            }
        }
        for (DirectoryStateMachine.Applied next = machine.nextApplied();
                next != null;
                next = machine.nextApplied()) {
            applied(next);
        }
    }

    private void applied(DirectoryStateMachine.Applied entry) {
        lastApplied = entry.position();
        if (entry.command() != null) {
            listener.applied(entry.command(), entry.position().index());
        }
        PendingProposal proposal = pendingProposals.remove(entry.position().index());
        if (proposal != null) {
            proposal.done().accept(proposal.term() == entry.position().term());
        }
    }

    private void failPendingProposals() {
        List<PendingProposal> abandoned = List.copyOf(pendingProposals.values());
        pendingProposals.clear();
        abandoned.forEach(proposal -> proposal.done().accept(false));
    }

    Position lastApplied() {
        return lastApplied;
    }

    @Override
    public void close() {
        failPendingProposals();
        log.close();
        storage.close();
    }
}
