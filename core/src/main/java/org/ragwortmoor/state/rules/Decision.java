package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Whether the rules permit an access to a record, and which line decided.
 *
 * @param reason why
 * @param line deciding line; none if the record belongs to no partner
 */
public record Decision(Reason reason, Option<RuleLine> line) {
    /** The decision on records that belong to no partner. */
    public static final Decision NO_PARTNER = new Decision(Reason.NO_PARTNER, Option.none());

    /** The reasons of decisions. */
    public enum Reason {
        /** Permitted: the record belongs to no partner. */
        NO_PARTNER,
        /** Permitted by an {@code allow} line. */
        ADMITTED,
        /** Forbidden: the record belongs to a partner and no {@code allow} line admits. */
        NOT_ADMITTED,
        /** Forbidden by a {@code deny} line. */
        DENIED
    }

    /** Returns whether the access is permitted. */
    public boolean allowed() {
        return reason == Reason.NO_PARTNER || reason == Reason.ADMITTED;
    }

    /** Returns who requested the deciding line. */
    public Option<Requester> requester() {
        return line.map(RuleLine::requester);
    }

    /** Returns the decision with its line and requester in words. */
    public String message() {
        return switch (reason) {
            case NO_PARTNER -> "allowed: the record belongs to no partner";
            case ADMITTED -> "allowed by " + deciding();
            case NOT_ADMITTED ->
                    "forbidden: no allow line admits the session to the records of " + deciding();
            case DENIED -> "forbidden by " + deciding();
        };
    }

    private String deciding() {
        return line.map(RuleLine::description).getOrElse("");
    }
}
