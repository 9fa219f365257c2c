package org.ragwortmoor.coordination.consensus;

import org.ragwortmoor.state.Position;

/** The replicated state machine; called in log order on the thread that handles the event. */
public interface StateMachine {
    /** Applies a committed command. */
    void apply(Position position, byte[] command);

    /**
     * Notes a committed entry without a command, so that a proposal that another leader's entry has
     * replaced can be answered.
     */
    default void skip(Position position) {}

    /** Returns the state after all applied commands. */
    byte[] snapshot();

    /** Replaces the state with a snapshot; {@code last} is the last entry that it includes. */
    void restore(Position last, byte[] snapshot);
}
