package org.ragwortmoor.state.token;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Base64;
import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.ragwortmoor.state.Position;

/** Guards against accepting tampered, foreign or oversized tokens, and against lost positions. */
class TokenCodecTest {
    private static final long NOW = 1_000_000;
    private static final SigningKey OLD = key(7, 'o');
    private static final SigningKey NEW = key(8, 'n');
    private static final TokenCodec CODEC = new TokenCodec(List.of(NEW, OLD));

    private static SigningKey key(int id, char fill) {
        byte[] secret =
                String.valueOf(fill).repeat(32).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return new SigningKey(id, Base64.getEncoder().encodeToString(secret));
    }

    @Provide
    Arbitrary<SessionToken> tokens() {
        Arbitrary<Position> position =
                Combinators.combine(
                                Arbitraries.longs().greaterOrEqual(0),
                                Arbitraries.longs().greaterOrEqual(0))
                        .as(Position::new);
        return Combinators.combine(
                        Arbitraries.strings().alpha().ofMaxLength(20),
                        Arbitraries.strings().withCharRange(' ', '\u024f').ofMaxLength(20),
                        Arbitraries.longs().greaterOrEqual(NOW + 1),
                        Arbitraries.maps(Arbitraries.strings().alpha().ofLength(4), position)
                                .ofMaxSize(SessionToken.MAX_GROUPS))
                .as(
                        (id, name, expiry, map) ->
                                new SessionToken(id, name, expiry, new TreeMap<>(map)));
    }

    @Property(tries = 300, seed = "20261204")
    void decodingReturnsWhatWasEncoded(@ForAll("tokens") SessionToken token) {
        String text = CODEC.encode(token).get();
        assertThat(text).hasSizeLessThanOrEqualTo(TokenCodec.MAX_LENGTH);
        assertThat(CODEC.decode(text, NOW).get()).isEqualTo(token);
    }

    @Property(tries = 300, seed = "20261204")
    void anyFlippedBitOrTruncationIsRefused(
            @ForAll("tokens") SessionToken token,
            @ForAll @IntRange(max = 10_000) int place,
            @ForAll @IntRange(max = 7) int bit) {
        String text = CODEC.encode(token).get();
        int at = place % text.length();
        String flipped =
                text.substring(0, at)
                        + (char) (text.charAt(at) ^ 1 << bit)
                        + text.substring(at + 1);
        assertThat(CODEC.decode(flipped, NOW).isLeft()).isTrue();
        assertThat(CODEC.decode(text.substring(0, at), NOW).isLeft()).isTrue();
        assertThat(CODEC.decode(text + "A", NOW).isLeft()).isTrue();
        assertThat(CODEC.decode(text + "=", NOW).isLeft()).isTrue();
    }

    @Property(tries = 200, seed = "20261204")
    void mergingKeepsTheLaterPositionOfEachGroup(
            @ForAll @IntRange(max = 3) int term, @ForAll @IntRange(max = 9) int index) {
        SessionToken one = token().advancedTo("a", new Position(2, 3)).get();
        SessionToken other =
                token().advancedTo("a", new Position(term, index))
                        .get()
                        .advancedTo("b", Position.ZERO)
                        .get();
        SessionToken merged = one.merge(other).get();
        assertThat(merged).isEqualTo(other.merge(one).get());
        assertThat(merged.positions().get("a").compareTo(new Position(2, 3))).isNotNegative();
        assertThat(merged.positions().get("a").compareTo(new Position(term, index)))
                .isNotNegative();
        assertThat(merged.position("b").get()).isEqualTo(Position.ZERO);
    }

    @Example
    void acceptsAnOlderKeyAndRefusesARemovedOne() {
        String text = new TokenCodec(List.of(OLD)).encode(token()).get();
        assertThat(CODEC.decode(text, NOW).isRight()).isTrue();
        assertKind(new TokenCodec(List.of(NEW)), text, NOW, TokenError.Kind.UNKNOWN_KEY);
    }

    @Example
    void reportsTheKindOfEachError() {
        String text = CODEC.encode(token()).get();
        assertKind(CODEC, text, token().expiryMillis(), TokenError.Kind.EXPIRED);
        assertKind(CODEC, "no token!", NOW, TokenError.Kind.MALFORMED);
        assertKind(CODEC, "A".repeat(1025), NOW, TokenError.Kind.TOO_LONG);
        assertKind(new TokenCodec(List.of(key(8, 'x'))), text, NOW, TokenError.Kind.BAD_SIGNATURE);
        SessionToken longName = SessionToken.open("s", "p".repeat(800), NOW + 1);
        assertThat(CODEC.encode(longName).getLeft().kind()).isEqualTo(TokenError.Kind.TOO_LONG);
        assertThat(new TokenCodec(List.of()).encode(token()).getLeft().kind())
                .isEqualTo(TokenError.Kind.NO_KEY);
        SessionToken foreign = SessionToken.open("other", "p", NOW);
        assertThat(token().merge(foreign).getLeft().kind())
                .isEqualTo(TokenError.Kind.FOREIGN_SESSION);
    }

    @Example
    void refusesMoreThanTheMaximumNumberOfGroups() {
        SessionToken token = token();
        for (int i = 0; i < SessionToken.MAX_GROUPS; i++) {
            token = token.advancedTo("g" + i, Position.ZERO).get();
        }
        assertThat(token.advancedTo("g16", Position.ZERO).getLeft().kind())
                .isEqualTo(TokenError.Kind.TOO_MANY_GROUPS);
        assertThat(token.advancedTo("g0", new Position(1, 1)).isRight()).isTrue();
    }

    @Example
    void toStringContainsNoSecret() {
        assertThat(NEW.toString()).doesNotContain(NEW.secretBase64());
    }

    private static SessionToken token() {
        return SessionToken.open("s", "p", NOW + 5);
    }

    private static void assertKind(TokenCodec codec, String text, long now, TokenError.Kind kind) {
        TokenError error = codec.decode(text, now).getLeft();
        assertThat(error.kind()).isEqualTo(kind);
        assertThat(error.message()).contains(";");
    }
}
