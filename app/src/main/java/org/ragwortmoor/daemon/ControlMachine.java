package org.ragwortmoor.daemon;

import io.vavr.Tuple2;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.consensus.StateMachine;
import org.ragwortmoor.coordination.control.CommandResult;
import org.ragwortmoor.coordination.control.ControlAction;
import org.ragwortmoor.coordination.control.ControlCommand;
import org.ragwortmoor.coordination.control.ControlCore;
import org.ragwortmoor.coordination.control.ControlEvent;
import org.ragwortmoor.coordination.control.ControlState;
import org.ragwortmoor.coordination.control.ControlStateCodec;
import org.ragwortmoor.state.Position;

/**
 * The replicated state of a control process together with the decisions that follow from it.
 * Confined to the control loop.
 */
final class ControlMachine implements StateMachine {
    private final Queue<ControlAction> actions = new ArrayDeque<>();
    private final ControlCore core;
    private final LongSupplier clock;
    private ControlState state = ControlState.EMPTY;

    ControlMachine(String failureDomain, LongSupplier clock) {
        this.clock = clock;
        this.core = new ControlCore(failureDomain, state, new RuleTextChecker(), clock.getAsLong());
    }

    /** Takes an event; what follows is in {@link #nextAction}. */
    void handle(ControlEvent event) {
        actions.addAll(core.handle(event, clock.getAsLong()));
    }

    /** Returns the next action to be carried out, or null. */
    ControlAction nextAction() {
        return actions.poll();
    }

    /** Returns the decisions, for reading their state. */
    ControlCore core() {
        return core;
    }

    /** Returns the replicated state. */
    ControlState state() {
        return state;
    }

    @Override
    public void apply(Position position, byte[] bytes) {
        ControlCommand command =
                ControlStateCodec.decodeCommand(bytes)
                        .getOrElseThrow(
                                error ->
                                        new IllegalStateException(
                                                "entry "
                                                        + position
                                                        + " cannot be read ("
                                                        + error
                                                        + "); run the release that wrote it"));
        Tuple2<ControlState, CommandResult> applied = state.apply(command);
        state = applied._1;
        handle(new ControlEvent.CommandCommitted(command, applied._2, state));
    }

    @Override
    public byte[] snapshot() {
        return ControlStateCodec.encodeSnapshot(state);
    }

    @Override
    public void restore(Position last, byte[] snapshot) {
        state =
                ControlStateCodec.decodeSnapshot(snapshot)
                        .getOrElseThrow(
                                error ->
                                        new IllegalStateException(
                                                "the snapshot at "
                                                        + last
                                                        + " cannot be read ("
                                                        + error
                                                        + "); run the release that wrote it"));
        handle(new ControlEvent.StateRestored(state));
    }
}
