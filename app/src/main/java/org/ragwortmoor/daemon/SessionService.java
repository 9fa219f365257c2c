package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.control.TokenKey;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.http.CallerBodies.SessionAnswer;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.token.SessionToken;
import org.ragwortmoor.state.token.SigningKey;
import org.ragwortmoor.state.token.TokenCodec;
import org.ragwortmoor.state.token.TokenError;

/** Opens sessions and turns tokens into sessions and back. Safe for concurrent use. */
final class SessionService {
    private static final int MAX_PRINCIPAL_LENGTH = 128;

    private final AtomicReference<TokenCodec> codec =
            new AtomicReference<>(new TokenCodec(List.of()));
    private final AtomicReference<List<TokenKey>> keys = new AtomicReference<>(List.of());
    private final LongSupplier wallMillis;
    private final long lifetimeMillis;

    /**
     * Creates a service.
     *
     * @param wallMillis wall-clock time in milliseconds; token expiry is the only use of it
     * @param lifetimeMillis lifetime of a session in milliseconds
     */
    SessionService(LongSupplier wallMillis, long lifetimeMillis) {
        this.wallMillis = wallMillis;
        this.lifetimeMillis = lifetimeMillis;
    }

    /** Uses these keys from now on, the newest first. */
    void replaceKeys(List<TokenKey> newest) {
        if (newest.isEmpty() || newest.equals(keys.getAndSet(newest))) {
            return;
        }
        codec.set(
                new TokenCodec(
                        newest.stream()
                                .map(k -> new SigningKey(k.id(), k.secretBase64()))
                                .toList()));
    }

    /** Returns whether sessions can be opened and verified. */
    boolean ready() {
        return !keys.get().isEmpty();
    }

    /** Opens a session for a principal. */
    Either<ErrorBody, SessionAnswer> open(String principal) {
        if (principal == null || principal.isBlank() || principal.length() > MAX_PRINCIPAL_LENGTH) {
            String message = "principal has 1 to " + MAX_PRINCIPAL_LENGTH + " characters";
            return Either.left(new ErrorBody("BAD_REQUEST", message, 0));
        }
        long expiry = wallMillis.getAsLong() + lifetimeMillis;
        SessionToken token = SessionToken.open(UUID.randomUUID().toString(), principal, expiry);
        return codec.get()
                .encode(token)
                .mapLeft(SessionService::error)
                .map(text -> new SessionAnswer(text, token.sessionId(), expiry));
    }

    /** Verifies a token. */
    Either<ErrorBody, SessionToken> verify(String text) {
        if (text == null || text.isEmpty()) {
            String message = "token is missing; open a session with POST /v1/sessions";
            return Either.left(new ErrorBody("BAD_TOKEN", message, 0));
        }
        return codec.get().decode(text, wallMillis.getAsLong()).mapLeft(SessionService::error);
    }

    /** Returns the token text of a session that has seen {@code position}. */
    Either<ErrorBody, String> seen(SessionToken session, String group, Position position) {
        return session.advancedTo(group, position)
                .flatMap(codec.get()::encode)
                .mapLeft(SessionService::error);
    }

    private static ErrorBody error(TokenError error) {
        return switch (error.kind()) {
            case EXPIRED -> new ErrorBody("TOKEN_EXPIRED", error.message(), 0);
            case NO_KEY -> new ErrorBody("RULES_EXPIRED", error.message(), 500);
            default -> new ErrorBody("BAD_TOKEN", error.message(), 0);
        };
    }
}
