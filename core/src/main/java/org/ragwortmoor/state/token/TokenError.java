package org.ragwortmoor.state.token;

/**
 * Why a session token was refused or could not be created.
 *
 * @param kind kind of the error
 * @param message human-readable reason and remedy; contains no part of the token
 */
public record TokenError(Kind kind, String message) {
    /** The kinds of token errors. */
    public enum Kind {
        /** The text is longer than {@link TokenCodec#MAX_LENGTH}. */
        TOO_LONG,
        /** The text is not a token. */
        MALFORMED,
        /** The token names a key that is not accepted. */
        UNKNOWN_KEY,
        /** The token was changed or signed with another key. */
        BAD_SIGNATURE,
        /** The token's expiry has passed. */
        EXPIRED,
        /** The session has seen more than {@link SessionToken#MAX_GROUPS} groups. */
        TOO_MANY_GROUPS,
        /** The tokens to merge belong to different sessions. */
        FOREIGN_SESSION,
        /** No signing key has been received yet. */
        NO_KEY
    }

    static TokenError tooLong(int length) {
        return new TokenError(
                Kind.TOO_LONG,
                "the token has "
                        + length
                        + " characters, at most "
                        + TokenCodec.MAX_LENGTH
                        + " are allowed; open a new session and use shorter names of principal"
                        + " and groups");
    }

    static TokenError malformed(String reason) {
        return new TokenError(
                Kind.MALFORMED,
                "the token is malformed ("
                        + reason
                        + "); send the token of the last answer unchanged or open a new session");
    }

    static TokenError unknownKey(int id) {
        return new TokenError(
                Kind.UNKNOWN_KEY,
                "the token names key " + id + ", which is not accepted; open a new session");
    }

    static TokenError badSignature() {
        return new TokenError(
                Kind.BAD_SIGNATURE,
                "the token's signature does not match its content; send the token of the last"
                        + " answer unchanged or open a new session");
    }

    static TokenError expired(long expiryMillis, long nowMillis) {
        return new TokenError(
                Kind.EXPIRED,
                "the token expired " + (nowMillis - expiryMillis) + " ms ago; open a new session");
    }

    static TokenError tooManyGroups(int groups) {
        return new TokenError(
                Kind.TOO_MANY_GROUPS,
                "the session has positions in "
                        + groups
                        + " groups, at most "
                        + SessionToken.MAX_GROUPS
                        + " are allowed; open a second session for the other groups");
    }

    static TokenError foreignSession() {
        return new TokenError(
                Kind.FOREIGN_SESSION,
                "the tokens belong to different sessions or principals; send the tokens of one"
                        + " session only");
    }

    static TokenError noKey() {
        return new TokenError(
                Kind.NO_KEY,
                "no signing key has been received from the control group; try again when the"
                        + " proxy is ready");
    }
}
