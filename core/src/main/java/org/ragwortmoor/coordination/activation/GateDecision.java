package org.ragwortmoor.coordination.activation;

import org.ragwortmoor.state.rules.Decision;

/** What the rules gate says about an operation. */
public sealed interface GateDecision {
    /** Returns whether the operation may be carried out. */
    default boolean allowed() {
        return this instanceof Allowed;
    }

    /** Returns the decision in words, with the remedy of a refusal. */
    String message();

    /**
     * The operation is permitted.
     *
     * @param version version that decided
     * @param decision decision of its rules
     */
    record Allowed(long version, Decision decision) implements GateDecision {
        @Override
        public String message() {
            return decision.message();
        }
    }

    /**
     * A rule forbids the operation.
     *
     * @param version version that decided
     * @param decision decision of its rules, with the line and its requester
     */
    record Forbidden(long version, Decision decision) implements GateDecision {
        @Override
        public String message() {
            return decision.message() + "; ask the requester of the line to change the rules";
        }
    }

    /**
     * The operation is refused because a version that the proxy missed could forbid it.
     *
     * @param version newest version that the proxy has; {@link RulesGate#NO_VERSION} if none
     * @param reason why the operation is held back
     */
    record HeldBack(long version, Reason reason) implements GateDecision {
        @Override
        public String message() {
            return reason.message();
        }
    }

    /** The reasons for holding an operation back. */
    enum Reason {
        /** The proxy has received no version since it started. */
        NO_VERSION(
                "the proxy has received no rules since it started; try again or use another"
                        + " proxy"),
        /** The rules lease ended and the record lies in a declared scope. */
        LEASE_ENDED(
                "the proxy's rules lease has ended and the record lies in a declared scope; try"
                        + " again or use another proxy");

        private final String message;

        Reason(String message) {
            this.message = message;
        }

        String message() {
            return message;
        }
    }
}
