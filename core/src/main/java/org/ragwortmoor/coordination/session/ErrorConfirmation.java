package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.ragwortmoor.state.Position;

/**
 * Confirms an error that may be a repetition.
 *
 * <p>The server is sent statements without an effect. It answers in order, so if the statement's
 * own answer is still to come, it arrives before theirs. The answer may have been lost, though; a
 * write therefore also needs the proof that the server has committed nothing since.
 *
 * <p>Successive confirmations on a connection send different numbers of statements, so that a
 * repetition of all answers of the one before does not suffice.
 */
final class ErrorConfirmation {
    /** Statements of the first confirmation; as many repeated answers at once are implausible. */
    private static final int MIN_STATEMENTS = 2;

    private static final int DIFFERENT_NUMBERS = 8;

    /** Prepares a statement that nobody executes. */
    static final String STATEMENT = "PREPARE unused READ unused";

    /** A result that is held back until the confirmation. */
    private record Held(Exchange exchange, ExchangeResult result) {}

    private final List<Held> held = new ArrayList<>();
    private boolean started;
    private int outstanding;

    /** Holds back a result. */
    void hold(Exchange exchange, ExchangeResult result) {
        held.add(new Held(exchange, result));
    }

    /** Returns the exchanges whose results are held back, the oldest first. */
    List<Exchange> exchanges() {
        return held.stream().map(Held::exchange).toList();
    }

    /** Returns whether the statements have been sent. */
    boolean started() {
        return started;
    }

    /**
     * Starts the confirmation and returns the statements to send.
     *
     * @param earlier number of confirmations on the connection before this one
     */
    List<String> start(int earlier) {
        started = true;
        outstanding = MIN_STATEMENTS + earlier % DIFFERENT_NUMBERS;
        return Collections.nCopies(outstanding, STATEMENT);
    }

    /** Records the answer to one of the statements; returns whether it was the last one. */
    boolean recordAnswer() {
        outstanding--;
        return outstanding == 0;
    }

    /**
     * Returns whether the held results may be acted on.
     *
     * @param position log position of the server after the last answer, if known
     */
    boolean confirmedAt(Option<Position> position) {
        return held.stream().allMatch(h -> h.exchange().harmlessIfRepeated(position));
    }

    /** Ends the exchanges with their results, in order. */
    void deliver() {
        held.forEach(h -> h.exchange().end(h.result()));
    }
}
