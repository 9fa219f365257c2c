package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.ErrorCode;

/** The key that a caller has sent, and the workspace to which it belongs. */
final class CallerKey {
    /** The key of a session that has not sent CONNECT. */
    static final String NONE = "";

    private final SessionEngine engine;
    private String key = NONE;
    private String workspace = "";

    CallerKey(SessionEngine engine) {
        this.engine = engine;
    }

    void set(String newKey) {
        key = newKey;
    }

    /** Returns the name of the workspace; empty if the caller has none. */
    String workspace() {
        return workspace;
    }

    /** Returns whether the known keys are too old to decide about the caller. */
    boolean unconfirmed(Route route) {
        return decide(route).outcome() == KeyCheck.Outcome.UNCONFIRMED;
    }

    /**
     * Returns whether the key was withdrawn or has moved to another workspace.
     *
     * @param route route of the session; none if it has none any more
     */
    boolean changed(Option<Route> route) {
        return route.map(this::decide)
                .exists(
                        decision ->
                                decision.outcome() == KeyCheck.Outcome.UNKNOWN || moved(decision));
    }

    /**
     * Checks the key for a message. The workspace is that of the message afterwards.
     *
     * @param route route of the session; none if it has none any more
     * @param inTransaction whether a transaction is open, which ends if the key has moved
     * @param runsNothing whether the message starts no work at a server
     */
    Option<Refusal> check(Option<Route> route, boolean inTransaction, boolean runsNothing) {
        return route.flatMap(r -> check(decide(r), inTransaction, runsNothing));
    }

    private Option<Refusal> check(
            KeyCheck.Decision decision, boolean inTransaction, boolean runsNothing) {
        if (decision.outcome() == KeyCheck.Outcome.UNKNOWN) {
            engine.log().keyRefused("unknown");
            return refusal(ErrorCode.UNAUTH, "no workspace has this key");
        }
        if (decision.outcome() == KeyCheck.Outcome.UNCONFIRMED) {
            if (runsNothing) {
                return Option.none();
            }
            engine.log().keyRefused("unconfirmed");
            return refusal(ErrorCode.OVERLOAD, "the keys could not be confirmed");
        }
        boolean moved = moved(decision);
        workspace = decision.workspace();
        return moved && inTransaction && !runsNothing
                ? refusal(ErrorCode.ABORTED, "the key has moved to another workspace")
                : Option.none();
    }

    private static Option<Refusal> refusal(ErrorCode code, String reason) {
        return Option.some(new Refusal(code.name(), reason, SessionSettings.RETRY_AFTER_MILLIS));
    }

    private boolean moved(KeyCheck.Decision decision) {
        return decision.outcome() == KeyCheck.Outcome.PERMITTED
                && !decision.workspace().equals(workspace);
    }

    private KeyCheck.Decision decide(Route route) {
        return engine.keys().decide(key, route.keyExempt());
    }

    /** Returns the workspace only, because keys must not appear in logs or dumps. */
    @Override
    public String toString() {
        return "CallerKey(workspace=" + workspace + ")";
    }
}
