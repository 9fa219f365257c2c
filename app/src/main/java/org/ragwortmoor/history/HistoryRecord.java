package org.ragwortmoor.history;

/**
 * One request of a history. Times are in nanoseconds of the recording process's monotonic clock.
 *
 * @param id number in the order of invocation
 * @param invoked time before the request was sent
 * @param answered time after its answer had arrived, or at which the caller gave up
 * @param request what was sent
 * @param answer what was answered
 */
public record HistoryRecord(long id, long invoked, long answered, Request request, Answer answer) {
    /** Returns whether the request was answered as executed. */
    boolean done() {
        return answer.outcome() == Outcome.DONE;
    }

    /** Returns whether this record was answered before {@code other} was invoked. */
    boolean precedes(HistoryRecord other) {
        return answered < other.invoked;
    }
}
