package org.ragwortmoor.coordination.engine;

import java.util.function.Function;

/** Order in which waiting requests are served. */
interface WorkQueue {
    /** Outcome of offering a place to the next request. */
    enum Outcome {
        /** It left the queue. */
        TAKEN,
        /** It was moved to another queue and has left this one already. */
        MOVED,
        /** It cannot start now, others may. */
        SKIPPED,
        /** Nothing can start now. */
        STOP
    }

    void add(Task task);

    /** Adds a request that had left the queue before its session's other requests. */
    void addFirst(Task task);

    void remove(Task task);

    /** Offers places to the waiting requests in order until nothing more can start. */
    void serve(Function<Task, Outcome> placer);

    int size();

    /** Returns how many requests would be served before a new one of this session. */
    int ahead(String session);
}
