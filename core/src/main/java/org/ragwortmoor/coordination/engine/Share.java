package org.ragwortmoor.coordination.engine;

/** How much of an endpoint this proxy may use: a floor, and more until a lease ends. */
final class Share {
    private int floor;
    private int leased;
    private int permits;
    private long deadline = Long.MIN_VALUE;

    void lease(EngineEvent.ShareLeased lease) {
        floor = lease.floor();
        leased = lease.connections();
        permits = lease.longPermits();
        deadline = lease.deadline();
    }

    int floor() {
        return floor;
    }

    int connections(long now) {
        return now < deadline ? Math.max(floor, leased) : floor;
    }

    boolean leased(long now) {
        return now < deadline;
    }

    int longPermits(long now) {
        return now < deadline ? permits : 0;
    }

    long deadline() {
        return deadline;
    }
}
