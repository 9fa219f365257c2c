package org.ragwortmoor.coordination.engine;

/**
 * The part of an endpoint's capacity that this proxy may use: a permanent floor, and more while a
 * lease is valid.
 */
final class Share {
    private int floor;
    private int leasedConnections;
    private int leasedLongPermits;
    private long deadline = Long.MIN_VALUE;

    void applyLease(EngineEvent.ShareLeased lease) {
        floor = lease.floor();
        leasedConnections = lease.connections();
        leasedLongPermits = lease.longPermits();
        deadline = lease.deadline();
    }

    int floor() {
        return floor;
    }

    int connections(long now) {
        return now < deadline ? Math.max(floor, leasedConnections) : floor;
    }

    boolean hasLease(long now) {
        return now < deadline;
    }

    int longPermits(long now) {
        return now < deadline ? leasedLongPermits : 0;
    }

    long deadline() {
        return deadline;
    }
}
