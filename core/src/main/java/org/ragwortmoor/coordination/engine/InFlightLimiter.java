package org.ragwortmoor.coordination.engine;

/** Limits the short statements in flight on one endpoint. */
interface InFlightLimiter {
    /** Returns whether one more statement may start. */
    boolean admits(int inFlight, long now);

    /**
     * Learns from an answered statement.
     *
     * @param queuedNanos time that the statement waited in the endpoint
     * @param occupiedNanos time from sending to the answer
     */
    void answered(int inFlight, long queuedNanos, long occupiedNanos, long now);

    /** Learns that the endpoint refused a statement because too many waited. */
    void refusedBusy(long now);

    /** Returns the limit; below 1 it is the fraction of time in which a statement is in flight. */
    double limit();

    /** Returns a time before which nothing more is admitted, or a past time. */
    long pausedUntil();
}
