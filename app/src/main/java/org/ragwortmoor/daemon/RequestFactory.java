package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.engine.CallerRequest;
import org.ragwortmoor.coordination.engine.ReadLevel;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.http.CallerBodies.ReadBody;
import org.ragwortmoor.http.CallerBodies.TransactionBody;
import org.ragwortmoor.http.CallerBodies.WriteBody;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;
import org.ragwortmoor.state.token.SessionToken;

/** Builds engine requests from checked request bodies. */
final class RequestFactory {
    private static final int MAX_LABEL_LENGTH = 64;
    private static final int MAX_KEY_LENGTH = 128;

    private final ProxyConfig.Times times;

    RequestFactory(ProxyConfig.Times times) {
        this.times = times;
    }

    /**
     * Returns a read, or the error in its options.
     *
     * @param ruleAgeMillis accepted age that the rules state for all records of the read
     * @param now current time in nanoseconds of the monotonic clock
     */
    Either<ErrorBody, CallerRequest> read(
            long id,
            SessionToken session,
            ReadBody body,
            List<Operation> operations,
            OptionalLong ruleAgeMillis,
            long now) {
        Either<ErrorBody, ReadLevel> level = level(body, ruleAgeMillis);
        if (level.isLeft()) {
            return Either.left(level.getLeft());
        }
        long ageMillis =
                body.maxAgeMillis() != null ? body.maxAgeMillis() : ruleAgeMillis.orElse(0);
        if (level.get() == ReadLevel.AGE && ageMillis <= 0) {
            return bad("level age needs maxAgeMillis of at least 1");
        }
        return deadline(body.deadlineMillis(), now)
                .map(
                        deadline ->
                                new CallerRequest.Read(
                                        id,
                                        session.sessionId(),
                                        operations,
                                        level.get(),
                                        level.get() == ReadLevel.AGE
                                                ? TimeUnit.MILLISECONDS.toNanos(ageMillis)
                                                : 0,
                                        session.position(body.group()).getOrElse(Position.ZERO),
                                        label(body.label()),
                                        serviceMicros(body.serviceMicros()),
                                        deadline));
    }

    /** Returns a write, or the error in its options. */
    Either<ErrorBody, CallerRequest.Write> write(
            long id, SessionToken session, WriteBody body, List<Operation> operations, long now) {
        if (body.key() != null && (body.key().isEmpty() || body.key().length() > MAX_KEY_LENGTH)) {
            return badKey();
        }
        String key = body.key() == null ? UUID.randomUUID().toString() : body.key();
        boolean repeatable = Boolean.TRUE.equals(body.repeatable());
        return deadline(body.deadlineMillis(), now)
                .map(
                        deadline ->
                                new CallerRequest.Write(
                                        id,
                                        session.sessionId(),
                                        operations,
                                        new WriteIdentity(key, 1),
                                        repeatable,
                                        label(body.label()),
                                        serviceMicros(body.serviceMicros()),
                                        deadline));
    }

    /** Returns a commit, or the error in its options. */
    Either<ErrorBody, CallerRequest.Commit> commit(
            long id, SessionToken session, TransactionBody body, long now) {
        if (body.key() != null && (body.key().isEmpty() || body.key().length() > MAX_KEY_LENGTH)) {
            return badKey();
        }
        String key = body.key() == null ? UUID.randomUUID().toString() : body.key();
        return deadline(body.deadlineMillis(), now)
                .map(
                        deadline ->
                                new CallerRequest.Commit(
                                        id,
                                        session.sessionId(),
                                        body.transaction(),
                                        new WriteIdentity(key, 1),
                                        deadline));
    }

    /** Returns the deadline of a request in nanoseconds of the monotonic clock. */
    Either<ErrorBody, Long> deadline(Long millis, long now) {
        long wait = millis == null ? times.defaultDeadlineMillis() : millis;
        if (wait < 1 || wait > times.maxDeadlineMillis()) {
            return bad("deadlineMillis is 1 to " + times.maxDeadlineMillis());
        }
        return Either.right(now + TimeUnit.MILLISECONDS.toNanos(wait));
    }

    /** Returns the longest deadline that a request may have. */
    long latestDeadline(long now) {
        return now + TimeUnit.MILLISECONDS.toNanos(times.maxDeadlineMillis());
    }

    /** Returns the time at which an open transaction ends. */
    Either<ErrorBody, Long> transactionDeadline(Long millis, long now) {
        return deadline(millis == null ? Long.valueOf(times.transactionMillis()) : millis, now)
                .mapLeft(
                        e ->
                                new ErrorBody(
                                        e.kind(),
                                        e.message().replace("deadline", "transaction"),
                                        0));
    }

    /** Returns the label in its bounded form; requests without one share the empty label. */
    static String label(String label) {
        if (label == null) {
            return "";
        }
        return label.length() <= MAX_LABEL_LENGTH ? label : label.substring(0, MAX_LABEL_LENGTH);
    }

    /** Returns the simulated length of a statement, which only the stand-in reads. */
    static long serviceMicros(Long micros) {
        return micros == null ? 0 : Math.max(0, micros);
    }

    private static Either<ErrorBody, ReadLevel> level(ReadBody body, OptionalLong ruleAge) {
        if (body.level() == null) {
            boolean stated = body.maxAgeMillis() != null || ruleAge.isPresent();
            return Either.right(stated ? ReadLevel.AGE : ReadLevel.SESSION);
        }
        return switch (body.level()) {
            case "strong" -> Either.right(ReadLevel.STRONG);
            case "session" -> Either.right(ReadLevel.SESSION);
            case "age" -> Either.right(ReadLevel.AGE);
            default -> bad("level is strong, session or age");
        };
    }

    private static <T> Either<ErrorBody, T> badKey() {
        return bad("key has 1 to " + MAX_KEY_LENGTH + " characters");
    }

    private static <T> Either<ErrorBody, T> bad(String message) {
        return Either.left(new ErrorBody("BAD_REQUEST", message, 0));
    }
}
