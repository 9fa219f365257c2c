package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;

/**
 * The outcome of applying a committed command.
 *
 * @param outcome kind of the result
 * @param value rule version, term, floor number or key id that the command assigned, or 0 if none
 * @param message description of the outcome and, for a refusal, of the remedy
 * @param winner operation that was committed first, if the outcome is {@code CONFLICT}
 */
public record CommandResult(Outcome outcome, long value, String message, Option<Winner> winner) {
    /** Kinds of outcomes. */
    public enum Outcome {
        /** The change was applied. */
        ACCEPTED,
        /** The rule file is pending until every member proxy has prepared it. */
        PENDING,
        /** The state already matches the requested change. */
        UNCHANGED,
        /** Another operation with the same expected version was committed first. */
        CONFLICT,
        /** The command is not valid in the current state. */
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
