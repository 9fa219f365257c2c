package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A connection to an endpoint.
 *
 * <p>Identifiers are never reused, so an answer for an earlier connection cannot match an exchange
 * of this one.
 */
final class PooledConnection {
    /** State of a connection. */
    enum State {
        OPENING,
        IDLE,
        IN_USE,
        RESETTING,
        CLOSED
    }

    private final long id;
    private final Member member;
    private final long createdAt;
    private final Map<Long, Exchange> pendingExchanges = new LinkedHashMap<>();
    private State state = State.OPENING;
    private long unansweredPingSince = Long.MAX_VALUE;
    private int unansweredPings;

    PooledConnection(long id, Member member, long createdAt) {
        this.id = id;
        this.member = member;
        this.createdAt = createdAt;
    }

    long id() {
        return id;
    }

    Member member() {
        return member;
    }

    long createdAt() {
        return createdAt;
    }

    State state() {
        return state;
    }

    void state(State next) {
        state = next;
    }

    boolean isOpen() {
        return state != State.OPENING && state != State.CLOSED;
    }

    void addExchange(Exchange exchange) {
        pendingExchanges.put(exchange.id(), exchange);
    }

    /** Removes and returns the pending exchange with this identifier; null if there is none. */
    Exchange removeExchange(long exchange) {
        return pendingExchanges.remove(exchange);
    }

    List<Exchange> removeAllExchanges() {
        List<Exchange> all = new ArrayList<>(pendingExchanges.values());
        pendingExchanges.clear();
        return all;
    }

    void recordPing(long now) {
        unansweredPingSince = Math.min(unansweredPingSince, now);
        unansweredPings++;
    }

    void recordPingAnswer() {
        unansweredPingSince = Long.MAX_VALUE;
        unansweredPings = 0;
    }

    int unansweredPings() {
        return unansweredPings;
    }

    /**
     * Returns the time since the first ping that was sent after the last ping answer; 0 if there is
     * none.
     */
    long silentNanos(long now) {
        return unansweredPingSince == Long.MAX_VALUE ? 0 : now - unansweredPingSince;
    }
}
