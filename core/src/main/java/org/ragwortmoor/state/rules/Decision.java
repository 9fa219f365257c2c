package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Whether the rules allow an access to a record, and the line that decided it.
 *
 * @param reason reason of the decision
 * @param line deciding line; none if the record does not belong to a partner
 */
public record Decision(Reason reason, Option<RuleLine> line) {
    /** The decision on records that do not belong to a partner. */
    public static final Decision NO_PARTNER = new Decision(Reason.NO_PARTNER, Option.none());

    /** The reasons of decisions. */
    public enum Reason {
        /** Allowed: the record does not belong to a partner. */
        NO_PARTNER,
        /** Allowed by an {@code allow} line. */
        ADMITTED,
        /** Forbidden: the record belongs to a partner and no {@code allow} line matches. */
        NOT_ADMITTED,
        /** Forbidden by a {@code deny} line. */
        DENIED
    }

    /** Returns whether the access is allowed. */
    public boolean allowed() {
        return reason == Reason.NO_PARTNER || reason == Reason.ADMITTED;
    }

    /** Returns the requester of the deciding line. */
    public Option<Requester> requester() {
        return line.map(RuleLine::requester);
    }

    /** Returns a human-readable description of the decision with its line and requester. */
    public String message() {
        return switch (reason) {
            case NO_PARTNER -> "allowed: the record belongs to no partner";
            case ADMITTED -> "allowed by " + decidingLine();
            case NOT_ADMITTED ->
                    "forbidden: no allow line admits the session to the records of "
                            + decidingLine();
            case DENIED -> "forbidden by " + decidingLine();
        };
    }

    private String decidingLine() {
        return line.map(RuleLine::description).getOrElse("");
    }
}
