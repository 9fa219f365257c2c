package org.ragwortmoor.coordination.engine;

import java.util.function.Function;

/** A queue that determines the order in which requests are started. */
interface WorkQueue {
    /** Result of trying to start the next request. */
    enum Outcome {
        /** The request was started or answered and leaves the queue. */
        TAKEN,
        /** The request was moved to another queue and has already left this one. */
        MOVED,
        /** The request cannot start now, but others may. */
        SKIPPED,
        /** No request can start now. */
        STOP
    }

    void add(Task task);

    /** Adds a request ahead of the other requests of its session. */
    void addFirst(Task task);

    void remove(Task task);

    /** Tries to start the queued requests in order until no more can start. */
    void dispatch(Function<Task, Outcome> placer);

    int size();

    /** Returns how many requests would be started before a new one of this session. */
    int countAhead(String session);
}
