package org.ragwortmoor.history;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;

/**
 * A write as its caller knows it after all attempts with its idempotency key.
 *
 * @param outcome outcome of all attempts together
 * @param invoked time of the first attempt
 * @param answered time of the first answer "done"; {@code Long.MAX_VALUE} if there is none
 * @param position position in the log, if known
 * @param operations operations of the write
 * @param records attempts and questions for the outcome
 */
record WriteFact(
        Outcome outcome,
        long invoked,
        long answered,
        Option<Position> position,
        List<Access> operations,
        List<HistoryRecord> records) {
    boolean mayHaveRun() {
        return outcome != Outcome.NOT_RUN;
    }

    /**
     * Returns whether this write certainly took effect before {@code other}: by the log if both
     * positions are known, otherwise by real time.
     */
    boolean certainlyBefore(WriteFact other) {
        if (position.isDefined() && other.position.isDefined()) {
            return position.get().index() < other.position.get().index();
        }
        return answered < other.invoked;
    }

    HistoryRecord first() {
        return records.get(0);
    }
}
