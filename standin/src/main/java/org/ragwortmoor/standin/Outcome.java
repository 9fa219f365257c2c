package org.ragwortmoor.standin;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * What the log states about one idempotency key.
 *
 * @param executed entry that executed the write, if any; it wins over every cancellation
 * @param cancelledAttempt highest cancelled attempt; 0 if none
 * @param cancelledAt position of the newest cancellation mark
 */
record Outcome(Option<LogEntry> executed, int cancelledAttempt, Position cancelledAt) {
    static final Outcome NONE = new Outcome(Option.none(), 0, Position.ZERO);

    /** Keys are stored for good and returned in log entries, which have to fit into a frame. */
    static final int MAX_KEY_CHARS = 1024;

    /** Returns the refusal of an identity whose key is too long, if it is. */
    static Option<EndpointAnswer.Refused> keyRefusal(WriteIdentity identity, Promise promise) {
        return Option.when(
                identity.key().length() > MAX_KEY_CHARS,
                () ->
                        promise.refuse(
                                RefusalKind.BAD_REQUEST,
                                "idempotency key exceeds " + MAX_KEY_CHARS + " characters"));
    }

    Outcome executedBy(LogEntry entry) {
        return new Outcome(Option.some(entry), cancelledAttempt, cancelledAt);
    }

    Outcome cancelled(int attempt, Position position) {
        return new Outcome(executed, attempt, position);
    }

    /** Returns the answer of an earlier execution or the refusal of a cancelled attempt, if any. */
    Option<EndpointAnswer> recorded(WriteIdentity identity, Promise promise) {
        Option<EndpointAnswer.Refused> tooLong = keyRefusal(identity, promise);
        if (tooLong.isDefined()) {
            return Option.narrow(tooLong);
        }
        if (executed.isDefined()) {
            LogEntry entry = executed.get();
            LogEntry.Written written = (LogEntry.Written) entry.content();
            return Option.some(
                    new EndpointAnswer.Result(written.results(), entry.position(), true, 0, 0));
        }
        if (identity.attempt() > cancelledAttempt) {
            return Option.none();
        }
        String message = "attempt " + identity.attempt() + " was cancelled; send a later attempt";
        return Option.some(
                new EndpointAnswer.Refused(
                        RefusalKind.CANCELLED, message, promise.term(), cancelledAttempt));
    }
}
