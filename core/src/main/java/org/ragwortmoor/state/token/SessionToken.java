package org.ragwortmoor.state.token;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortmoor.state.Position;

/**
 * The state of a session, which the caller sends with each request.
 *
 * @param sessionId identifier of the session
 * @param principal name of the caller to which the session was issued
 * @param expiryMillis time at which the token expires, in milliseconds since the epoch
 * @param positions last position that the session has seen in each group, at most {@link
 *     #MAX_GROUPS}
 */
public record SessionToken(
        String sessionId,
        String principal,
        long expiryMillis,
        SortedMap<String, Position> positions) {
    /** Maximum number of groups; bounds the size of tokens and requests. */
    public static final int MAX_GROUPS = 16;

    /** Validates the number of groups and copies the positions. */
    public SessionToken {
        if (positions.size() > MAX_GROUPS) {
            throw new IllegalArgumentException(
                    TokenError.tooManyGroups(positions.size()).message());
        }
        positions = Collections.unmodifiableSortedMap(new TreeMap<>(positions));
    }

    /** Returns the token of a new session without positions. */
    public static SessionToken open(String sessionId, String principal, long expiryMillis) {
        return new SessionToken(sessionId, principal, expiryMillis, new TreeMap<>());
    }

    /** Returns the position in {@code group}, if the session has one. */
    public Option<Position> position(String group) {
        return Option.of(positions.get(group));
    }

    /**
     * Returns the token after the session has seen {@code position} in {@code group}. A position
     * that is not later than the known one changes nothing.
     *
     * @return the token, or {@code TOO_MANY_GROUPS}
     */
    public Either<TokenError, SessionToken> advancedTo(String group, Position position) {
        TreeMap<String, Position> changed = new TreeMap<>(positions);
        changed.merge(group, position, SessionToken::later);
        return withPositions(changed, expiryMillis);
    }

    /**
     * Merges two tokens of one session, for example those of the answers to two concurrent
     * requests. The result has the later position of each group and the later expiry.
     *
     * @return the merged token, {@code FOREIGN_SESSION} or {@code TOO_MANY_GROUPS}
     */
    public Either<TokenError, SessionToken> merge(SessionToken other) {
        if (!sessionId.equals(other.sessionId) || !principal.equals(other.principal)) {
            return Either.left(TokenError.foreignSession());
        }
        TreeMap<String, Position> merged = new TreeMap<>(positions);
        other.positions.forEach((group, p) -> merged.merge(group, p, SessionToken::later));
        return withPositions(merged, Math.max(expiryMillis, other.expiryMillis));
    }

    /** Returns this token with another expiry, in milliseconds since the epoch. */
    public SessionToken withExpiry(long millis) {
        return new SessionToken(sessionId, principal, millis, positions);
    }

    private Either<TokenError, SessionToken> withPositions(
            SortedMap<String, Position> changed, long expiry) {
        if (changed.size() > MAX_GROUPS) {
            return Either.left(TokenError.tooManyGroups(changed.size()));
        }
        return Either.right(new SessionToken(sessionId, principal, expiry, changed));
    }

    private static Position later(Position one, Position other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
