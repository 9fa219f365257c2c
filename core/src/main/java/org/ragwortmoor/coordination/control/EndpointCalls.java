package org.ragwortmoor.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** Administrative calls to the endpoints of one group: at most one at a time per endpoint. */
final class EndpointCalls {
    /** A call without an answer is given up and sent again: its connection may be silent. */
    static final long TIMEOUT_NANOS = 500_000_000L;

    /** Pause after a failure; a connection attempt is refused at once by a stopped process. */
    static final long RETRY_NANOS = 100_000_000L;

    private final String group;
    private final Outbox out;
    private final Map<String, Pending> pending = new HashMap<>();
    private final Map<String, Long> retryAt = new HashMap<>();

    /** A call under way. */
    record Pending(long call, String endpoint, EndpointCall request, long sentAt) {}

    EndpointCalls(String group, Outbox out) {
        this.group = group;
        this.out = out;
    }

    /** Sends a call unless one to the endpoint is under way or failed just now. */
    void send(String endpoint, String address, EndpointCall request, long now) {
        Pending before = pending.get(endpoint);
        boolean busy =
                before != null
                        && before.request().equals(request)
                        && now - before.sentAt() < TIMEOUT_NANOS;
        if (busy || now < retryAt.getOrDefault(endpoint, Long.MIN_VALUE)) {
            return;
        }
        long call = out.call(new EndpointKey(group, endpoint), address, request);
        pending.put(endpoint, new Pending(call, endpoint, request, now));
    }

    /** Returns the call that was answered, or null if it was given up or replaced. */
    Pending answered(String endpoint, long call) {
        Pending known = pending.get(endpoint);
        if (known == null || known.call() != call) {
            return null;
        }
        pending.remove(endpoint);
        retryAt.remove(endpoint);
        return known;
    }

    void failed(String endpoint, long call, long now) {
        if (answered(endpoint, call) != null) {
            pause(endpoint, now);
        }
    }

    /** Keeps the endpoint from being called again at once. */
    void pause(String endpoint, long now) {
        retryAt.put(endpoint, now + RETRY_NANOS);
    }

    /** Returns whether no call is under way or about to be repeated. */
    boolean idle() {
        return pending.isEmpty() && retryAt.isEmpty();
    }

    /** Lets the calls of a new term start at once. */
    void reset() {
        pending.clear();
        retryAt.clear();
    }
}
