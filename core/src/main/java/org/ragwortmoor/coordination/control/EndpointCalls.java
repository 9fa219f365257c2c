package org.ragwortmoor.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** Tracks the administrative calls to the endpoints of one group, at most one per endpoint. */
final class EndpointCalls {
    /**
     * Timeout after which an unanswered call is sent again, since its connection may have failed
     * silently.
     */
    static final long TIMEOUT_NANOS = 500_000_000L;

    /**
     * Delay previous a retry; without it the immediate connection refusals of a stopped process
     * would cause a inFlight loop.
     */
    static final long RETRY_DELAY_NANOS = 100_000_000L;

    private final String group;
    private final Outbox out;
    private final Map<String, Pending> pending = new HashMap<>();
    private final Map<String, Long> retryAt = new HashMap<>();

    /** A call in flight. */
    record Pending(long call, String endpoint, EndpointCall request, long sentAt) {}

    EndpointCalls(String group, Outbox out) {
        this.group = group;
        this.out = out;
    }

    /**
     * Sends a call unless the same call to the endpoint is in flight or the retry delay has not
     * passed.
     */
    void send(String endpoint, String address, EndpointCall request, long now) {
        Pending previous = pending.get(endpoint);
        boolean inFlight =
                previous != null
                        && previous.request().equals(request)
                        && now - previous.sentAt() < TIMEOUT_NANOS;
        if (inFlight || now < retryAt.getOrDefault(endpoint, Long.MIN_VALUE)) {
            return;
        }
        long call = out.call(new EndpointKey(group, endpoint), address, request);
        pending.put(endpoint, new Pending(call, endpoint, request, now));
    }

    /** Removes and returns the answered call, or returns null if it timed out or was replaced. */
    Pending answered(String endpoint, long call) {
        Pending current = pending.get(endpoint);
        if (current == null || current.call() != call) {
            return null;
        }
        pending.remove(endpoint);
        retryAt.remove(endpoint);
        return current;
    }

    void failed(String endpoint, long call, long now) {
        if (answered(endpoint, call) != null) {
            delayRetry(endpoint, now);
        }
    }

    /** Delays the next call to the endpoint. */
    void delayRetry(String endpoint, long now) {
        retryAt.put(endpoint, now + RETRY_DELAY_NANOS);
    }

    /** Returns whether no call is in flight or scheduled for a retry. */
    boolean idle() {
        return pending.isEmpty() && retryAt.isEmpty();
    }

    /** Discards all calls and delays, so that the calls of a new term start at once. */
    void reset() {
        pending.clear();
        retryAt.clear();
    }
}
