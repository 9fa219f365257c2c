package org.ragwortmoor.directory;

import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Either;
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

/** The replicated log of a directory process with the proposals that wait for it. */
final class DirectoryLog implements AutoCloseable {
    /** Interval of a leader's messages; a hundred round trips between zones. */
    private static final long HEARTBEAT = TimeUnit.MILLISECONDS.toNanos(80);

    /** Shortest time without a leader before an election: four heartbeats. */
    private static final long ELECTION_MIN = TimeUnit.MILLISECONDS.toNanos(320);

    /** Longest such time; the difference lets one candidate be first. */
    private static final long ELECTION_MAX = TimeUnit.MILLISECONDS.toNanos(560);

    /** Leadership without an answer of a majority; a fifth shorter than an election. */
    private static final long LEASE = TimeUnit.MILLISECONDS.toNanos(250);

    /** Entries between snapshots; a day has some hundred changes. */
    private static final long SNAPSHOT_ENTRIES = 2_000;

    private static final Logger LOG = LoggerFactory.getLogger(DirectoryLog.class);

    private final FileStorage storage;
    private final ReplicatedLog log;
    private final DirectoryMachine machine;
    private final Listener listener;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private Position lastApplied = Position.ZERO;

    /** Hears what follows from the log. */
    interface Listener {
        /** Sends a message to another member. */
        void send(ConsensusAction.Send send);

        /** The process was elected. */
        void elected(long term);

        /** The process no longer leads. */
        void deposed(String reason);

        /** A command was committed and applied. */
        void applied(DirectoryCommand command, long index);
    }

    private record Waiting(long term, Consumer<Boolean> done) {}

    private DirectoryLog(
            FileStorage storage, ReplicatedLog log, DirectoryMachine machine, Listener listener) {
        this.storage = storage;
        this.log = log;
        this.machine = machine;
        this.listener = listener;
    }

    /**
     * Opens the data folder, or returns why that is not possible now.
     *
     * @param quietSince time since which no log of this member was open, in nanoseconds
     */
    static Either<StorageError, DirectoryLog> open(
            DirectorySettings settings,
            MemberAddresses addresses,
            long quietSince,
            Listener listener) {
        Either<StorageError, DirectoryLog> opened =
                tryOpen(settings, addresses, quietSince, listener);
        if (opened.isRight()) {
            return opened;
        }
        Either<StorageError, Boolean> again =
                DataFolder.discardIfDamaged(settings.dataFolder(), opened.getLeft());
        return again.isRight()
                ? tryOpen(settings, addresses, quietSince, listener)
                : Either.left(again.getLeft());
    }

    private static Either<StorageError, DirectoryLog> tryOpen(
            DirectorySettings settings,
            MemberAddresses addresses,
            long quietSince,
            Listener listener) {
        FileStorage storage = null;
        try {
            storage =
                    DataFolder.open(settings.dataFolder(), settings.bootstrap(), settings.seeds());
            io.vavr.collection.Map<String, String> founders = LinkedHashMap.empty();
            for (String node : DataFolder.founders(storage)) {
                founders = founders.put(node, addresses.of(node));
            }
            DirectoryMachine machine = new DirectoryMachine();
            RandomGenerator random = new SplittableRandom(seed(settings.controlAddress()));
            FileStorage used = storage;
            Either<StorageError, ReplicatedLog> log =
                    ReplicatedLog.open(
                            storage,
                            settings.controlAddress().toString(),
                            random::nextLong,
                            LogSettings.DEFAULT,
                            ConsensusSettings.defaults(founders.toJavaMap())
                                    .withTimes(HEARTBEAT, ELECTION_MIN, ELECTION_MAX, LEASE)
                                    .withSnapshotEntries(SNAPSHOT_ENTRIES),
                            machine,
                            random,
                            quietSince,
                            System.nanoTime());
            if (log.isLeft()) {
                storage.close();
                return Either.left(log.getLeft());
            }
            log.get().notices().forEach(n -> LOG.warn("event=recovery notice=\"{}\"", n));
            return Either.right(new DirectoryLog(used, log.get(), machine, listener));
        } catch (StorageException e) {
            if (storage != null) {
                storage.close();
            }
            return Either.left(e.error());
        }
    }

    /**
     * Returns a number of its own for each process and start, for identities and election
     * deadlines. They need no secrecy, whose provider would take part of the start.
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

    boolean leads() {
        return log.leaderReady(System.nanoTime());
    }

    /** Handles an event of the log and everything that follows. */
    void handle(ConsensusEvent event) {
        perform(log.handle(event, System.nanoTime()));
    }

    /**
     * Proposes a command.
     *
     * @param done gets whether it was committed; false says nothing about a command whose leader
     *     was deposed
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
        waiting.put(position.index(), new Waiting(position.term(), done));
        perform(proposed.get().actions());
    }

    /** Proposes a membership change; its success shows in the configuration. */
    void change(MembershipChange change) {
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
                abandonWaiting();
                listener.deposed(lost.reason());
            }
        }
        for (DirectoryMachine.Applied next = machine.nextApplied();
                next != null;
                next = machine.nextApplied()) {
            applied(next);
        }
    }

    private void applied(DirectoryMachine.Applied entry) {
        lastApplied = entry.position();
        if (entry.command() != null) {
            listener.applied(entry.command(), entry.position().index());
        }
        Waiting proposal = waiting.remove(entry.position().index());
        if (proposal != null) {
            proposal.done().accept(proposal.term() == entry.position().term());
        }
    }

    private void abandonWaiting() {
        List<Waiting> abandoned = List.copyOf(waiting.values());
        waiting.clear();
        abandoned.forEach(proposal -> proposal.done().accept(false));
    }

    /** Returns the position of the newest applied entry. */
    Position lastApplied() {
        return lastApplied;
    }

    @Override
    public void close() {
        abandonWaiting();
        log.close();
        storage.close();
    }
}
