package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One connection to an endpoint.
 *
 * <p>Its identifier is never used again, so it is also the connection's generation: an answer that
 * arrives for an earlier connection finds no exchange here.
 */
final class PooledConnection {
    /** States of a connection. */
    enum State {
        OPENING,
        IDLE,
        LENT,
        RESETTING,
        CLOSED
    }

    private final long id;
    private final Member member;
    private final long createdAt;
    private final Map<Long, Exchange> waiting = new LinkedHashMap<>();
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

    boolean open() {
        return state != State.OPENING && state != State.CLOSED;
    }

    void expect(Exchange exchange) {
        waiting.put(exchange.id(), exchange);
    }

    /** Removes and returns the exchange that waits for this answer, or null. */
    Exchange take(long exchange) {
        return waiting.remove(exchange);
    }

    List<Exchange> takeAll() {
        List<Exchange> all = new ArrayList<>(waiting.values());
        waiting.clear();
        return all;
    }

    void pinged(long now) {
        unansweredPingSince = Math.min(unansweredPingSince, now);
        unansweredPings++;
    }

    void pingAnswered() {
        unansweredPingSince = Long.MAX_VALUE;
        unansweredPings = 0;
    }

    int unansweredPings() {
        return unansweredPings;
    }

    /** Returns for how long no ping has been answered; 0 if none is unanswered. */
    long silentNanos(long now) {
        return unansweredPingSince == Long.MAX_VALUE ? 0 : now - unansweredPingSince;
    }
}
