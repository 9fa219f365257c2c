package org.ragwortmoor.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortmoor.coordination.engine.CallerAnswer;

/** The requests that wait for an answer, by identifier. Safe for concurrent use. */
final class PendingRequests {
    private final AtomicLong lastId = new AtomicLong();
    private final ConcurrentHashMap<Long, CompletableFuture<CallerAnswer>> waiting =
            new ConcurrentHashMap<>();

    /** Returns an identifier that was not used before. */
    long newId() {
        return lastId.incrementAndGet();
    }

    /** Registers a request before it is handed to an engine. */
    CompletableFuture<CallerAnswer> register(long id) {
        CompletableFuture<CallerAnswer> answer = new CompletableFuture<>();
        waiting.put(id, answer);
        return answer;
    }

    /** Hands an answer to its request; a second answer to the same request is dropped. */
    void complete(CallerAnswer answer) {
        CompletableFuture<CallerAnswer> request = waiting.remove(answer.id());
        if (request != null) {
            request.complete(answer);
        }
    }

    /** Returns the number of requests in flight. */
    int size() {
        return waiting.size();
    }
}
