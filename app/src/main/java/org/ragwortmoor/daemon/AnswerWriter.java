package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import java.util.List;
import org.ragwortmoor.coordination.engine.CallerAnswer;
import org.ragwortmoor.http.CallerBodies.Answer;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.http.CallerBodies.RecordBody;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.token.SessionToken;

/** Turns answers of an engine into answers to callers, with the session's new token. */
final class AnswerWriter {
    private final SessionService sessions;

    AnswerWriter(SessionService sessions) {
        this.sessions = sessions;
    }

    /**
     * Returns the answer to a caller.
     *
     * @param key idempotency key of a write, otherwise null
     */
    Answer write(CallerAnswer answer, SessionToken session, String group, String key) {
        if (answer instanceof CallerAnswer.NotRun notRun) {
            return Answer.notRun(notRun.kind().name(), notRun.message(), notRun.retryAfterMillis());
        }
        if (answer instanceof CallerAnswer.Unknown unknown) {
            return Answer.unknown(unknown.kind().name(), unknown.message(), key);
        }
        CallerAnswer.Done done = (CallerAnswer.Done) answer;
        return done(done, done.records(), session, group, key, null, null);
    }

    /** Returns the answer to a scan of which some records were withheld. */
    Answer writeScan(
            CallerAnswer.Done done,
            List<ReadRecord> visible,
            int withheld,
            SessionToken session,
            String group) {
        List<ReadRecord> found = done.records();
        String scannedTo = found.isEmpty() ? null : found.get(found.size() - 1).key();
        return done(done, visible, session, group, null, withheld, scannedTo);
    }

    private Answer done(
            CallerAnswer.Done done,
            List<ReadRecord> visible,
            SessionToken session,
            String group,
            String key,
            Integer withheld,
            String scannedTo) {
        Either<ErrorBody, String> token = token(done.position(), session, group);
        List<RecordBody> records =
                visible.stream().map(r -> new RecordBody(r.key(), r.value().getOrNull())).toList();
        boolean begun = !done.transaction().isEmpty();
        return new Answer(
                "done",
                records,
                done.position().toString(),
                token.getOrNull(),
                done.endpoint(),
                done.replica(),
                done.duplicate(),
                begun ? done.transaction() : null,
                key,
                withheld,
                scannedTo,
                token.isLeft() ? token.getLeft() : null);
    }

    /** A statement that saw nothing of the log, such as a begin, leaves the token as it was. */
    private Either<ErrorBody, String> token(Position position, SessionToken session, String group) {
        return sessions.seen(session, group, position);
    }
}
