package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.DurableLog;
import org.ragwortmoor.state.log.LogSettings;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Storage;
import org.ragwortmoor.state.log.StorageError;

/**
 * A replicated log with its durable storage; the daemon transports the messages.
 *
 * <p>Not thread-safe; all methods run on the calling thread. Writes are durable when a method
 * returns, so the returned messages can be sent at any later time and in any order.
 */
public final class ReplicatedLog implements AutoCloseable {
    private final DurableLog log;
    private final ConsensusNode node;
    private final ConsensusStorageDriver driver;
    private final List<String> notices;

    private ReplicatedLog(
            DurableLog log,
            ConsensusNode node,
            ConsensusStorageDriver driver,
            List<String> notices) {
        this.log = log;
        this.node = node;
        this.driver = driver;
        this.notices = notices;
    }

    /**
     * An appended proposal. It is committed if the state machine receives an entry at this
     * position, and was replaced if the state machine receives an entry of another term at this
     * index.
     *
     * @param actions actions that the daemon has to execute, as returned by {@link #handle}
     */
    public record Proposed(Position position, List<ConsensusAction> actions) {}

    /**
     * Opens the data folder and restores the state machine from the snapshot.
     *
     * @param storage the data folder
     * @param nodeId node id from the settings
     * @param incarnations source of random incarnations for an empty folder; must not be seeded
     * @param stateMachine state machine in its initial state
     * @param random seeded source of randomness for election timeouts
     * @param lastPossibleContactAt time after which no earlier process of this member can have
     *     answered a leader: the start of this process, or {@code now} if this process had the log
     *     open before
     * @param now current time in nanoseconds of the process's monotonic clock
     * @return the log, or an error with the file, the offset and the remedy
     */
    public static Either<StorageError, ReplicatedLog> open(
            Storage storage,
            String nodeId,
            LongSupplier incarnations,
            LogSettings logSettings,
            ConsensusSettings settings,
            StateMachine stateMachine,
            RandomGenerator random,
            long lastPossibleContactAt,
            long now) {
        return DurableLog.open(storage, nodeId, incarnations, logSettings)
                .map(
                        opened -> {
                            ConsensusStorageDriver driver =
                                    new ConsensusStorageDriver(opened.log(), stateMachine);
                            opened.recovered().snapshot().forEach(driver::restore);
                            ConsensusNode node =
                                    new ConsensusNode(
                                            opened.recovered(),
                                            settings,
                                            random,
                                            lastPossibleContactAt,
                                            now);
                            return new ReplicatedLog(
                                    opened.log(), node, driver, opened.recovered().repairs());
                        });
    }

    /**
     * Handles an event and all events that its actions cause.
     *
     * @return actions of the types {@code Send}, {@code BecameLeader}, {@code LostLeadership},
     *     {@code Accepted} and {@code Refused}
     */
    public List<ConsensusAction> handle(ConsensusEvent event, long now) {
        return handleAll(List.of(event), now);
    }

    /** Handles a batch of events, whose commands share one sync of the log. */
    public List<ConsensusAction> handleAll(List<ConsensusEvent> events, long now) {
        List<ConsensusEvent> pending = events;
        while (!pending.isEmpty()) {
            driver.execute(node.handleAll(pending, now));
            pending = driver.flush();
        }
        return driver.drainOutputs();
    }

    /**
     * Proposes a command.
     *
     * @return the appended proposal, or the reason why the command was not appended and never will
     *     be
     */
    public Either<Refusal, Proposed> propose(byte[] command, long now) {
        return submit(new ConsensusEvent.Propose(0, ByteString.copyFrom(command)), now);
    }

    /**
     * Proposes a membership change.
     *
     * @return the appended proposal, or the reason why the change was not appended and never will
     *     be
     */
    public Either<Refusal, Proposed> change(MembershipChange change, long now) {
        return submit(new ConsensusEvent.ChangeMembership(0, change), now);
    }

    /** Returns the time at which the next {@link ConsensusEvent.Tick} is due. */
    public long nextDeadline() {
        return node.nextDeadline();
    }

    /**
     * Returns whether this node may serve reads from its state, see {@link
     * ConsensusNode#leaderReady}.
     */
    public boolean leaderReady(long now) {
        return node.leaderReady(now);
    }

    /** Returns the underlying node, for read access to its state. */
    public ConsensusNode node() {
        return node;
    }

    /** Returns the current leader, if known to this node. */
    public Option<MemberId> leader() {
        return node.leader();
    }

    /** Returns this node's view of the group. */
    public ClusterStatus status(long now) {
        return node.status(now);
    }

    /** Returns the storage error that ended the participation of this node, if any. */
    public Option<StorageError> failure() {
        return driver.failure();
    }

    /** Returns descriptions of the repairs made when the log was opened, for logging. */
    public List<String> notices() {
        return notices;
    }

    /** Returns the state as lines of text for the state dump. */
    public String dump(long now) {
        String failed = driver.failure().map(e -> "failed " + e.message() + '\n').getOrElse("");
        return node.dump(now) + failed;
    }

    @Override
    public void close() {
        log.close();
    }

    private Either<Refusal, Proposed> submit(ConsensusEvent event, long now) {
        List<ConsensusAction> remaining = new ArrayList<>();
        Option<Position> position = Option.none();
        Option<Refusal> refusal = Option.none();
        for (ConsensusAction action : handle(event, now)) {
            if (action instanceof ConsensusAction.Accepted accepted) {
                position = Option.some(accepted.position());
            } else if (action instanceof ConsensusAction.Refused refused) {
                refusal = Option.some(refused.refusal());
            } else {
                remaining.add(action);
            }
        }
        if (refusal.isDefined()) {
            return Either.left(refusal.get());
        }
        return Either.right(new Proposed(position.get(), remaining));
    }
}
