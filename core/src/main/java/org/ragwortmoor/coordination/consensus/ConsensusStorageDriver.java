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
 * Carries out the storage and state machine actions of a {@link ConsensusNode}, without threads.
 *
 * <p>Syncs of one batch are merged: {@link #flush} syncs once and returns the event for the node.
 */
final class ConsensusStorageDriver {
    private final DurableLog log;
    private final StateMachine machine;
    private final List<ConsensusAction> outputs = new ArrayList<>();
    private final List<ConsensusEvent> followUps = new ArrayList<>();
    private Option<Position> unsynced = Option.none();
    private Option<StorageError> failure = Option.none();

    ConsensusStorageDriver(DurableLog log, StateMachine machine) {
        this.log = log;
        this.machine = machine;
    }

    /** Carries out actions in order; the actions behind a failed write are dropped. */
    void execute(List<ConsensusAction> actions) {
        for (ConsensusAction action : actions) {
            if (failure.isDefined()) {
                // The node may rely on a vote or an entry that was not written.
                passNotice(action);
                continue;
            }
            execute(action).peekLeft(this::fail);
        }
    }

    /** Syncs what was appended and returns the events that follow from all executed actions. */
    List<ConsensusEvent> flush() {
        if (unsynced.isDefined()) {
            Position through = unsynced.get();
            unsynced = Option.none();
            log.sync()
                    .peek(index -> followUps.add(new ConsensusEvent.StorageSynced(through)))
                    .peekLeft(this::fail);
        }
        List<ConsensusEvent> events = List.copyOf(followUps);
        followUps.clear();
        return events;
    }

    /** Returns the actions that are left to the daemon, once. */
    List<ConsensusAction> takeOutputs() {
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
            ByteString data = ByteString.copyFrom(machine.snapshot());
            followUps.add(new ConsensusEvent.SnapshotTaken(take.index(), data));
        } else {
            outputs.add(action);
        }
        return Either.right(action);
    }

    private void passNotice(ConsensusAction action) {
        if (action instanceof ConsensusAction.Accepted
                || action instanceof ConsensusAction.Refused
                || action instanceof ConsensusAction.LostLeadership) {
            outputs.add(action);
        }
    }

    void restore(Snapshot snapshot) {
        machine.restore(
                new Position(snapshot.term(), snapshot.index()), snapshot.data().toByteArray());
    }

    private void apply(LogEntry entry) {
        if (entry.kind() == EntryKind.COMMAND) {
            machine.apply(entry.position(), entry.payload().toByteArray());
        } else {
            machine.skip(entry.position());
        }
    }

    private void fail(StorageError error) {
        if (failure.isEmpty()) {
            failure = Option.some(error);
            unsynced = Option.none();
            followUps.clear();
            followUps.add(new ConsensusEvent.StorageFailed(error.message()));
        }
    }
}
