package org.ragwortmoor.state.token;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.wire.TokenBody;
import org.ragwortmoor.state.wire.TokenPosition;

/**
 * Converts session tokens to signed text and back. Immutable and thread-safe.
 *
 * <p>The text is the unpadded base64url encoding of: format version (1 byte), key id (4 bytes),
 * HMAC-SHA256 of all other bytes (32 bytes), {@code TokenBody} in protobuf encoding.
 */
public final class TokenCodec {
    /** Maximum length of the text, in characters. */
    public static final int MAX_LENGTH = 1024;

    private static final String ALGORITHM = "HmacSHA256";
    private static final byte FORMAT = 1;
    private static final int MAC_OFFSET = 5;
    private static final int MAC_LENGTH = 32;
    private static final int BODY_OFFSET = MAC_OFFSET + MAC_LENGTH;

    private final List<SigningKey> keys;
    private final Map<Integer, SecretKeySpec> keysById;

    /**
     * Creates a codec.
     *
     * @param keys accepted keys, newest first; the first one is used for signing
     */
    public TokenCodec(List<SigningKey> keys) {
        this.keys = List.copyOf(keys);
        Map<Integer, SecretKeySpec> byId = new LinkedHashMap<>();
        for (SigningKey key : keys) {
            // If several keys have the same id, the newest one is used.
            byId.putIfAbsent(key.id(), new SecretKeySpec(key.secret(), ALGORITHM));
        }
        this.keysById = Map.copyOf(byId);
    }

    /**
     * Signs a token with the newest key.
     *
     * @return the text, or {@code TOO_LONG} or {@code NO_KEY}
     */
    public Either<TokenError, String> encode(SessionToken token) {
        if (keys.isEmpty()) {
            return Either.left(TokenError.noKey());
        }
        int keyId = keys.get(0).id();
        byte[] body = toBody(token).toByteArray();
        ByteBuffer bytes = ByteBuffer.allocate(BODY_OFFSET + body.length);
        bytes.put(FORMAT).putInt(keyId).position(BODY_OFFSET).put(body);
        byte[] mac = mac(keysById.get(keyId), bytes.array());
        bytes.position(MAC_OFFSET).put(mac);
        String text = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array());
        return text.length() > MAX_LENGTH
                ? Either.left(TokenError.tooLong(text.length()))
                : Either.right(text);
    }

    /**
     * Verifies and reads a token.
     *
     * @param text the signed text
     * @param nowMillis current time in milliseconds since the epoch
     * @return the token, or the error; the content is parsed only after the signature was verified
     */
    public Either<TokenError, SessionToken> decode(String text, long nowMillis) {
        if (text.length() > MAX_LENGTH) {
            return Either.left(TokenError.tooLong(text.length()));
        }
        return decodeBase64(text)
                .flatMap(this::verifySignature)
                .flatMap(TokenCodec::parseBody)
                .flatMap(token -> checkExpiry(token, nowMillis));
    }

    private static Either<TokenError, byte[]> decodeBase64(String text) {
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text.getBytes(StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            return Either.left(TokenError.malformed("it is not base64url"));
        }
        // The decoder ignores padding and the unused bits of the last character. Only the canonical
        // text is accepted, so that any change to the text is detected.
        if (!Base64.getUrlEncoder().withoutPadding().encodeToString(bytes).equals(text)) {
            return Either.left(TokenError.malformed("it is not canonical base64url"));
        }
        if (bytes.length < BODY_OFFSET) {
            return Either.left(TokenError.malformed("it is too short"));
        }
        return bytes[0] == FORMAT
                ? Either.right(bytes)
                : Either.left(TokenError.malformed("format " + bytes[0] + " is unknown"));
    }

    private Either<TokenError, byte[]> verifySignature(byte[] bytes) {
        int keyId = ByteBuffer.wrap(bytes).getInt(1);
        SecretKeySpec key = keysById.get(keyId);
        if (key == null) {
            return Either.left(TokenError.unknownKey(keyId));
        }
        byte[] received = new byte[MAC_LENGTH];
        System.arraycopy(bytes, MAC_OFFSET, received, 0, MAC_LENGTH);
        return MessageDigest.isEqual(received, mac(key, bytes))
                ? Either.right(bytes)
                : Either.left(TokenError.badSignature());
    }

    private static Either<TokenError, SessionToken> parseBody(byte[] bytes) {
        TokenBody body;
        try {
            body =
                    TokenBody.parseFrom(
                            ByteBuffer.wrap(bytes, BODY_OFFSET, bytes.length - BODY_OFFSET));
        } catch (InvalidProtocolBufferException e) {
            return Either.left(TokenError.malformed("its content cannot be read"));
        }
        if (body.getPositionsCount() > SessionToken.MAX_GROUPS) {
            return Either.left(TokenError.tooManyGroups(body.getPositionsCount()));
        }
        TreeMap<String, Position> positions = new TreeMap<>();
        for (TokenPosition p : body.getPositionsList()) {
            if (p.getTerm() < 0 || p.getIndex() < 0) {
                return Either.left(TokenError.malformed("a position is negative"));
            }
            positions.put(p.getGroup(), new Position(p.getTerm(), p.getIndex()));
        }
        return Either.right(
                new SessionToken(
                        body.getSessionId(),
                        body.getPrincipal(),
                        body.getExpiryMillis(),
                        positions));
    }

    private static Either<TokenError, SessionToken> checkExpiry(SessionToken token, long now) {
        return now < token.expiryMillis()
                ? Either.right(token)
                : Either.left(TokenError.expired(token.expiryMillis(), now));
    }

    private static TokenBody toBody(SessionToken token) {
        TokenBody.Builder body =
                TokenBody.newBuilder()
                        .setSessionId(token.sessionId())
                        .setPrincipal(token.principal())
                        .setExpiryMillis(token.expiryMillis());
        token.positions()
                .forEach(
                        (group, p) ->
                                body.addPositions(
                                        TokenPosition.newBuilder()
                                                .setGroup(group)
                                                .setTerm(p.term())
                                                .setIndex(p.index())));
        return body.build();
    }

    /** Returns the HMAC of all bytes except those of the HMAC itself. */
    private static byte[] mac(SecretKeySpec key, byte[] bytes) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(bytes, 0, MAC_OFFSET);
            mac.update(bytes, BODY_OFFSET, bytes.length - BODY_OFFSET);
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform must provide " + ALGORITHM, e);
        }
    }
}
