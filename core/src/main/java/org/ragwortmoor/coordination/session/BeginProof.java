package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/**
 * A proof of leadership by an accepted BEGIN.
 *
 * <p>The answer to BEGIN has no signature and could be a repetition with an outdated position. It
 * counts only once the next answer has arrived in its place.
 */
final class BeginProof {
    private final ServerGroup group;
    private final ServerConnection connection;
    private final long requestedAt;
    private final long clockOffsetMillis;
    private Option<ExchangeResult.Completed> begun = Option.none();

    /** Creates a proof whose request is sent now. */
    BeginProof(ServerGroup group, ServerConnection connection, SessionHost host) {
        this.group = group;
        this.connection = connection;
        this.requestedAt = host.now();
        this.clockOffsetMillis = group.clockOffsetMillis();
    }

    /** Records the answer to BEGIN. */
    void begun(ExchangeResult.Completed completed) {
        begun = Option.some(completed);
    }

    /** Records the proof after the next answer, unless an answer was repeated in between. */
    void confirm() {
        if (connection.repeatsAnswers()) {
            return;
        }
        for (ExchangeResult.Completed completed : begun) {
            Option<Position> position = completed.position();
            group.recordProof(connection.server(), position, requestedAt, clockOffsetMillis);
        }
        begun = Option.none();
    }
}
