package org.ragwortmoor.coordination.consensus;

import org.ragwortmoor.state.Position;

/** The replicated state machine, called in log order on the thread that handles the event. */
public interface StateMachine {
    /** Applies a committed command. */
    void apply(Position position, byte[] command);

    /**
     * Called for a committed entry without a command. The entry may have replaced a proposal, which
     * can then be answered.
     */
    default void skip(Position position) {}

    /** Returns the encoded state after all applied commands. */
    byte[] snapshot();

    /** Replaces the state with a snapshot, whose last included entry is at {@code last}. */
    void restore(Position last, byte[] snapshot);
}
