package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.directory.ServerState;

/**
 * The calls that ask the platform to carry out one promotion order. A call without an answer is
 * repeated with the same fencing token.
 */
final class PromotionCall {
    private String server = "";
    private long token;
    private int calls;
    private long nextCallAt;
    private boolean inFlight;
    private Option<Long> unansweredAt = Option.none();
    private String unansweredServer = "";
    private long unansweredToken;

    /** Forgets the calls of an earlier leadership. */
    void reset() {
        inFlight = false;
        unansweredAt = Option.none();
    }

    /** Assumes that an earlier leader has called for its order without an answer. */
    void inherit(Promotion order, long now) {
        unansweredAt = Option.some(now);
        unansweredServer = order.server();
        unansweredToken = order.token();
    }

    /** Forgets an unanswered call for a server that has ended and cannot be promoted any more. */
    void forgetEnded(DirectoryState state) {
        boolean ended =
                state.servers().get(unansweredServer).exists(s -> s.state() == ServerState.GONE);
        if (ended) {
            unansweredAt = Option.none();
        }
    }

    /** Starts to call for a new order. */
    void start(String orderedServer, long orderToken, long now) {
        server = orderedServer;
        token = orderToken;
        calls = 0;
        nextCallAt = now;
    }

    String server() {
        return server;
    }

    long token() {
        return token;
    }

    int calls() {
        return calls;
    }

    boolean due(long now) {
        return now - nextCallAt >= 0;
    }

    /** Returns the next call, which is due. */
    FailoverAction next(String group, long now) {
        calls++;
        inFlight = true;
        nextCallAt = now + FailoverSettings.CALL_RETRY_NANOS;
        return new FailoverAction.CallPromotion(group, server, token);
    }

    /**
     * Records that the platform has accepted a call.
     *
     * @param fencing whether it now rejects delayed calls for earlier orders
     */
    void recordAccepted(boolean fencing) {
        inFlight = false;
        if (fencing && unansweredToken < token) {
            unansweredAt = Option.none();
        }
    }

    /** Records that the platform has rejected a call. */
    void recordRejected() {
        inFlight = false;
    }

    /** Records that the outcome of a call is unknown. */
    void recordUnanswered(long now) {
        inFlight = false;
        unansweredAt = Option.some(now);
        unansweredServer = server;
        unansweredToken = token;
        nextCallAt = now + FailoverSettings.CALL_BACKOFF_NANOS;
    }

    /** Returns whether an unanswered call may still be carried out. */
    boolean delayedCallPossible(long now) {
        return inFlight
                || unansweredAt.exists(at -> now - at < FailoverSettings.MAX_CALL_DELAY_NANOS);
    }

    /** Returns the server of an unanswered call that may still be carried out. */
    Option<String> delayedServer(long now) {
        return Option.when(delayedCallPossible(now), () -> inFlight ? server : unansweredServer);
    }

    /** Returns whether an unanswered call for another server may still be carried out. */
    boolean delayedCallPossible(String otherThan, long now) {
        return delayedServer(now).exists(called -> !called.equals(otherThan));
    }
}
