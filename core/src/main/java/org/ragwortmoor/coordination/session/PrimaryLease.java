package org.ragwortmoor.coordination.session;

/**
 * The right of this proxy to use one server as the primary of a group.
 *
 * <p>On platforms that do not depose a replaced primary, its answers prove nothing by themselves:
 * it accepts writes although its successor does too. The directory therefore promotes a server only
 * after every lease on its predecessor has ended. A write is sent, and its answer passed on, only
 * under a lease.
 */
final class PrimaryLease {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SessionHost host;
    private boolean required = true;
    private String server = "";
    private long deadline;
    private long clockOffsetMillis;
    private long durationNanos;
    private long grantNumber;
    private long oldestValidReport;
    private boolean startsNothing;

    PrimaryLease(SessionHost host) {
        this.host = host;
        this.deadline = host.now();
    }

    boolean required() {
        return required;
    }

    /** Sets whether a lease is needed at all; it is unless the directory has said otherwise. */
    void setRequired(boolean newValue) {
        required = newValue;
    }

    /**
     * Grants the lease.
     *
     * @param reportId report that requested the lease
     * @param reportedAt time at which the report was sent, from which the lease is counted
     * @param clockOffset wall clock minus monotonic clock at that time, in milliseconds
     * @param nanos duration of the lease
     */
    void grant(String newServer, long reportId, long reportedAt, long clockOffset, long nanos) {
        if (reportId < oldestValidReport) {
            return;
        }
        if (!held() || !server.equals(newServer)) {
            grantNumber++;
        }
        server = newServer;
        deadline = reportedAt + nanos;
        durationNanos = nanos;
        clockOffsetMillis = clockOffset;
        startsNothing = false;
    }

    /**
     * Ends the lease because the directory withholds it. Answers to commits that are in progress
     * are still passed on for a short time.
     */
    void withhold() {
        startsNothing = true;
        long end = host.now() + SessionSettings.LEASE_RELEASE_NANOS;
        if (end - deadline < 0) {
            deadline = end;
        }
    }

    /** Ends the lease immediately. */
    void release() {
        server = "";
        if (host.now() - deadline < 0) {
            deadline = host.now();
        }
    }

    /** Returns the duration of the last lease; 0 if none is needed. */
    long durationNanos() {
        return required ? durationNanos : 0;
    }

    /** Starts to wait for a lease, which this proxy did not need before. */
    void awaitGrant() {
        if (!held()) {
            deadline = host.now();
        }
    }

    /** Returns the time since the end of the last lease, in nanoseconds; 0 while one is held. */
    long nanosWithoutLease() {
        return !required || held() ? 0 : Math.max(0, host.now() - deadline);
    }

    /**
     * Returns whether a lease is held, as stated in a report. If not, grants for earlier reports
     * are no longer accepted, because the directory may consider them released.
     */
    boolean stateInReport(long reportId) {
        boolean stated = required && held();
        if (!stated) {
            release();
            oldestValidReport = reportId;
        }
        return stated;
    }

    /** Returns whether new work may be sent to the server as primary. */
    boolean permitsWork(Server primary) {
        return !required || (heldFor(primary) && !startsNothing);
    }

    /** Returns whether the server is the primary for certain, so that its answers are proofs. */
    boolean permitsAnswers(Server primary) {
        return !required || heldFor(primary);
    }

    /**
     * Returns a number that changes when the lease is granted anew after a gap. An answer may be
     * passed on if the number is the same as when the work was sent.
     */
    long grantNumber() {
        return required ? grantNumber : 0;
    }

    /** Returns the holder and the remaining time, for the state dump. */
    @Override
    public String toString() {
        if (!required) {
            return "not required";
        }
        return held() ? server + ":" + (deadline - host.now()) / NANOS_PER_MILLI + "ms" : "none";
    }

    private boolean heldFor(Server primary) {
        return held() && server.equals(primary.record().id());
    }

    private boolean held() {
        // The monotonic clock stops while the VM is suspended; the wall clock does not.
        long clockOffset = host.wallMillis() - host.now() / NANOS_PER_MILLI;
        boolean sameClock =
                Math.abs(clockOffset - clockOffsetMillis)
                        < SessionSettings.SUSPENSION_THRESHOLD_MILLIS;
        return !server.isEmpty() && sameClock && host.now() - deadline < 0;
    }
}
