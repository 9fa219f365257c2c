package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.DurableLog;
import org.ragwortmoor.state.log.EntryKind;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.Snapshot;
import org.ragwortmoor.state.log.StorageError;

/**
 * Executes the storage and state machine actions of a {@link ConsensusNode} on the calling thread.
 *
 * <p>The syncs of one batch are combined: {@link #flush} syncs the log once and returns the
 * resulting events for the node.
 */
final class ConsensusStorageDriver {
    private final DurableLog log;
    private final StateMachine stateMachine;
    private final List<ConsensusAction> outputs = new ArrayList<>();
    private final List<ConsensusEvent> pendingEvents = new ArrayList<>();
    private Option<Position> unsynced = Option.none();
    private Option<StorageError> failure = Option.none();

    ConsensusStorageDriver(DurableLog log, StateMachine stateMachine) {
        this.log = log;
        this.stateMachine = stateMachine;
    }

    /** Executes actions in order; after a failed write, only notifications are forwarded. */
    void execute(List<ConsensusAction> actions) {
        for (ConsensusAction action : actions) {
            if (failure.isDefined()) {
                // Later actions may depend on a vote or an entry that was not written.
                forwardNotification(action);
                continue;
            }
            execute(action).peekLeft(this::fail);
        }
    }

    /** Syncs the appended entries and returns the events caused by the executed actions. */
    List<ConsensusEvent> flush() {
        if (unsynced.isDefined()) {
            Position through = unsynced.get();
            unsynced = Option.none();
            log.sync()
                    .peek(index -> pendingEvents.add(new ConsensusEvent.StorageSynced(through)))
                    .peekLeft(this::fail);
        }
        List<ConsensusEvent> events = List.copyOf(pendingEvents);
        pendingEvents.clear();
        return events;
    }

    /** Returns and clears the actions that the daemon has to execute. */
    List<ConsensusAction> drainOutputs() {
        List<ConsensusAction> taken = List.copyOf(outputs);
        outputs.clear();
        return taken;
    }

    Option<StorageError> failure() {
        return failure;
    }

    private Either<StorageError, ?> execute(ConsensusAction action) {
        if (action instanceof ConsensusAction.Append append) {
            return log.append(append.entries());
        } else if (action instanceof ConsensusAction.SyncLog sync) {
            unsynced = Option.some(sync.through());
        } else if (action instanceof ConsensusAction.TruncateAfter truncate) {
            return log.truncateAfter(truncate.index());
        } else if (action instanceof ConsensusAction.SaveVote save) {
            return log.saveVote(save.vote());
        } else if (action instanceof ConsensusAction.SaveSnapshot save) {
            return log.saveSnapshot(save.snapshot(), save.resetLog());
        } else if (action instanceof ConsensusAction.Apply apply) {
            apply(apply.entry());
        } else if (action instanceof ConsensusAction.InstallSnapshot install) {
            restore(install.snapshot());
        } else if (action instanceof ConsensusAction.TakeSnapshot take) {
            ByteString data = ByteString.copyFrom(stateMachine.snapshot());
            pendingEvents.add(new ConsensusEvent.SnapshotTaken(take.index(), data));
        } else {
            outputs.add(action);
        }
        return Either.right(action);
    }

    private void forwardNotification(ConsensusAction action) {
        if (action instanceof ConsensusAction.Accepted
                || action instanceof ConsensusAction.Refused
                || action instanceof ConsensusAction.LostLeadership) {
            outputs.add(action);
        }
    }

    void restore(Snapshot snapshot) {
        stateMachine.restore(
                new Position(snapshot.term(), snapshot.index()), snapshot.data().toByteArray());
    }

    private void apply(LogEntry entry) {
        if (entry.kind() == EntryKind.COMMAND) {
            stateMachine.apply(entry.position(), entry.payload().toByteArray());
        } else {
            stateMachine.skip(entry.position());
        }
    }

    private void fail(StorageError error) {
        if (failure.isEmpty()) {
            failure = Option.some(error);
            unsynced = Option.none();
            pendingEvents.clear();
            pendingEvents.add(new ConsensusEvent.StorageFailed(error.message()));
        }
    }
}
