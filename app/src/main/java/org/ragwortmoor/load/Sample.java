package org.ragwortmoor.load;

import org.ragwortmoor.history.Outcome;
import org.ragwortmoor.history.RequestKind;

/**
 * What became of one planned request. Times are in nanoseconds after the start of the load.
 *
 * @param scheduled time at which the generator planned it
 * @param sent time at which it was sent
 * @param answered time of its final answer
 * @param kind kind of request
 * @param group group
 * @param label work label
 * @param serviceMicros length of its statement, in microseconds
 * @param outcome final outcome
 * @param error error kind; empty without one
 * @param replica whether a replica executed it
 * @param firstOutcome outcome of the first answer, before any question for the outcome
 */
public record Sample(
        long scheduled,
        long sent,
        long answered,
        RequestKind kind,
        String group,
        String label,
        long serviceMicros,
        Outcome outcome,
        String error,
        boolean replica,
        Outcome firstOutcome) {
    /** Returns the latency from the scheduled time, in nanoseconds. */
    public long latencyNanos() {
        return answered - scheduled;
    }

    /** Returns whether the request writes. */
    boolean writes() {
        return kind == RequestKind.WRITE || kind == RequestKind.TRANSACTION;
    }
}
