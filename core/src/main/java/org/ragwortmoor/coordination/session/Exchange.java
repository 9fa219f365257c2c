package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ragwortmoor.state.Position;

/** A statement that was sent on a server connection and whose result is awaited. */
final class Exchange {
    private final String id;
    private final Function<String, ExpectedAnswer> expectation;
    private final boolean repeatable;
    private final Option<Position> positionBefore;
    private final long sentAt;
    private final Consumer<ExchangeResult> callback;
    private final SessionHost.Timer timer;

    /**
     * Creates an exchange.
     *
     * @param expectation returns the answer to expect after a transaction state
     * @param repeatable whether the statement may be executed again
     * @param positionBefore log position of the server before the statement, if known
     * @param sentAt time at which the statement is sent, in nanoseconds
     * @param callback receives the result, once
     * @param timer ends the connection at the deadline
     */
    Exchange(
            String id,
            Function<String, ExpectedAnswer> expectation,
            boolean repeatable,
            Option<Position> positionBefore,
            long sentAt,
            Consumer<ExchangeResult> callback,
            SessionHost.Timer timer) {
        this.id = id;
        this.expectation = expectation;
        this.repeatable = repeatable;
        this.positionBefore = positionBefore;
        this.sentAt = sentAt;
        this.callback = callback;
        this.timer = timer;
    }

    String id() {
        return id;
    }

    /**
     * Returns the answer to the statement if it succeeds.
     *
     * @param stateBefore transaction state before the statement
     */
    ExpectedAnswer expected(String stateBefore) {
        return expectation.apply(stateBefore);
    }

    /**
     * Returns whether nothing is lost or done twice by acting on an error that was a repetition, if
     * the statement's own answer was lost.
     *
     * @param position log position of the server after the statement, if known
     */
    boolean harmlessIfRepeated(Option<Position> position) {
        return repeatable || (positionBefore.isDefined() && positionBefore.equals(position));
    }

    long sentAt() {
        return sentAt;
    }

    /** Ends the exchange; to be called once. */
    void end(ExchangeResult result) {
        timer.cancel();
        callback.accept(result);
    }
}
