package org.ragwortmoor.coordination.engine;

/** Limits the number of short statements in flight on one endpoint. */
interface InFlightLimiter {
    /** Returns whether one more statement may start. */
    boolean admits(int inFlight, long now);

    /**
     * Updates the limit from an answered statement.
     *
     * @param queuedNanos time that the statement was queued in the endpoint
     * @param responseNanos time from sending to the answer
     */
    void recordAnswer(int inFlight, long queuedNanos, long responseNanos, long now);

    /** Updates the limit after the endpoint refused a statement because its queue was full. */
    void recordBusy(long now);

    /**
     * Returns the limit; a value below 1 is the fraction of time in which one statement is in
     * flight.
     */
    double limit();

    /** Returns the time before which no statement is admitted; in the past if there is no pause. */
    long pausedUntil();
}
