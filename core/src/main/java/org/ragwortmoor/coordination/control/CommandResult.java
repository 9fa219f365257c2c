package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;

/**
 * What a committed command did.
 *
 * @param outcome kind of the result
 * @param value rule version or term that the command created, otherwise 0
 * @param message what happened and, for a refusal, the remedy
 * @param winner with {@code CONFLICT}, the operation that was committed first
 */
public record CommandResult(Outcome outcome, long value, String message, Option<Winner> winner) {
    /** Kinds of results. */
    public enum Outcome {
        /** The change was made. */
        ACCEPTED,
        /** The rules wait until every member proxy has prepared them. */
        PENDING,
        /** The state already was as the command asks. */
        UNCHANGED,
        /** Another operation with the same expected version was committed first. */
        CONFLICT,
        /** The command does not fit the state. */
        REFUSED
    }

    /**
     * The operation that was committed first.
     *
     * @param timeMillis wall-clock time of its request in milliseconds
     */
    public record Winner(String operator, String operationId, long timeMillis) {}

    /** Returns whether the command changed the state. */
    public boolean changed() {
        return outcome == Outcome.ACCEPTED || outcome == Outcome.PENDING;
    }

    static CommandResult accepted(long value, String message) {
        return new CommandResult(Outcome.ACCEPTED, value, message, Option.none());
    }

    static CommandResult pending(long version, String message) {
        return new CommandResult(Outcome.PENDING, version, message, Option.none());
    }

    static CommandResult unchanged(String message) {
        return new CommandResult(Outcome.UNCHANGED, 0, message, Option.none());
    }

    static CommandResult refused(String message) {
        return new CommandResult(Outcome.REFUSED, 0, message, Option.none());
    }

    static CommandResult conflict(String message, Option<Winner> winner) {
        return new CommandResult(Outcome.CONFLICT, 0, message, winner);
    }
}
