package org.ragwortmoor.directory;

import java.util.ArrayDeque;
import java.util.Queue;
import org.ragwortmoor.coordination.consensus.StateMachine;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;

/** State machine of the control group that holds the replicated directory. */
final class DirectoryStateMachine implements StateMachine {
    private final Queue<Applied> applied = new ArrayDeque<>();
    private DirectoryState state = DirectoryState.EMPTY;

    /** An applied entry; the command is null for snapshots and internal entries of the log. */
    record Applied(Position position, DirectoryCommand command) {}

    DirectoryState state() {
        return state;
    }

    /** Removes and returns the oldest applied entry that was not returned yet, or null. */
    Applied nextApplied() {
        return applied.poll();
    }

    @Override
    public void apply(Position position, byte[] bytes) {
        DirectoryCommand command =
                DirectoryCodec.decodeCommand(bytes)
                        .getOrElseThrow(
                                e ->
                                        new IllegalStateException(
                                                "entry "
                                                        + position
                                                        + " cannot be read ("
                                                        + e
                                                        + "); run the release that wrote it"));
        state = state.apply(command, position.index());
        applied.add(new Applied(position, command));
    }

    @Override
    public void skip(Position position) {
        applied.add(new Applied(position, null));
    }

    @Override
    public byte[] snapshot() {
        return DirectoryCodec.encode(state);
    }

    @Override
    public void restore(Position last, byte[] snapshot) {
        state =
                DirectoryCodec.decodeState(snapshot)
                        .getOrElseThrow(
                                e ->
                                        new IllegalStateException(
                                                "the snapshot at "
                                                        + last
                                                        + " cannot be read ("
                                                        + e
                                                        + "); run the release that wrote it"));
        applied.add(new Applied(last, null));
    }
}
