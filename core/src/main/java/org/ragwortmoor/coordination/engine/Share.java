package org.ragwortmoor.coordination.engine;

/** How much of an endpoint this proxy may use: a floor, and more until a lease ends. */
final class Share {
    /** Every member proxy has a floor of at least one connection. */
    private static final int SMALLEST_FLOOR = 1;

    private int floor = SMALLEST_FLOOR;
    private int leased;
    private int permits;
    private long deadline = Long.MIN_VALUE;

    void lease(EngineEvent.ShareLeased lease) {
        floor = Math.max(SMALLEST_FLOOR, lease.floor());
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

    int longPermits(long now) {
        return now < deadline ? permits : 0;
    }

    long deadline() {
        return deadline;
    }
}
