package org.ragwortmoor.coordination.activation;

import org.ragwortmoor.state.rules.Decision;

/** The decision of a {@link RulesGate} on an operation. */
public sealed interface GateDecision {
    /** Returns whether the operation may be executed. */
    default boolean allowed() {
        return this instanceof Allowed;
    }

    /** Returns a description of the decision, with a remedy if it is a refusal. */
    String message();

    /**
     * The rules allow the operation.
     *
     * @param version rules version that decided
     * @param decision decision of that version
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
     * @param version rules version that decided
     * @param decision decision of that version, with the line and its requester
     */
    record Forbidden(long version, Decision decision) implements GateDecision {
        @Override
        public String message() {
            return decision.message() + "; ask the requester of the line to change the rules";
        }
    }

    /**
     * The operation is refused because a version that the proxy has not received may forbid it.
     *
     * @param version newest version that the proxy has, or {@link RulesGate#NO_VERSION}
     * @param reason reason of the refusal
     */
    record HeldBack(long version, Reason reason) implements GateDecision {
        @Override
        public String message() {
            return reason.message();
        }
    }

    /** Reasons for holding an operation back. */
    enum Reason {
        /** The proxy has received no version since it started. */
        NO_VERSION(
                "the proxy has received no rules since it started; try again or use another"
                        + " proxy"),
        /** The rules lease has ended and the record is in a declared scope. */
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
