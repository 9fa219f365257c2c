package org.ragwortmoor.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.ragwortmoor.coordination.session.ForwardedResult;
import org.ragwortmoor.coordination.session.ForwardedStatement;
import org.ragwortmoor.protocol.wire.ForwardingFrame;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.statement.PreparedShape;

/** Guards the messages between proxies against lost fields and against malformed bytes. */
class ForwardingCodecTest {
    private static final String SEED = "20261205";

    private static Arbitrary<String> texts() {
        return Arbitraries.strings().ofMaxLength(40);
    }

    private static Arbitrary<Option<Position>> positions() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 1L << 40),
                        Arbitraries.longs().between(0, 1L << 40))
                .as(Position::new)
                .optional()
                .map(Option::ofOptional);
    }

    @Provide
    Arbitrary<ForwardedStatement> statements() {
        Arbitrary<Route> routes =
                Combinators.combine(
                                texts(),
                                Arbitraries.of(RouteKind.class),
                                Arbitraries.integers().between(0, 100_000))
                        .as((name, kind, n) -> new Route(name, name, "/", kind, "g", n, n, 1, n));
        Arbitrary<Option<PreparedShape>> shapes =
                texts().map(text -> new PreparedShape(text.isEmpty(), text))
                        .optional()
                        .map(Option::ofOptional);
        Arbitrary<Map<String, String>> values = Arbitraries.maps(texts(), texts()).ofMaxSize(4);
        return Combinators.combine(
                        Arbitraries.longs().between(0, Long.MAX_VALUE),
                        Arbitraries.of(true, false),
                        texts(),
                        shapes,
                        routes,
                        values,
                        positions(),
                        Arbitraries.of(ForwardedStatement.Mode.class))
                .as(
                        (number, flag, text, shape, route, sessionValues, position, mode) ->
                                new ForwardedStatement(
                                        number,
                                        flag,
                                        text,
                                        text,
                                        shape,
                                        shape.isDefined() ? text : "",
                                        route,
                                        sessionValues,
                                        position,
                                        mode,
                                        number,
                                        !flag,
                                        flag,
                                        "workspace"));
    }

    @Provide
    Arbitrary<ForwardedResult> results() {
        Arbitrary<ForwardedResult> succeeded =
                Combinators.combine(texts().list().ofMaxSize(3), texts(), positions(), positions())
                        .as((rows, text, at, last) -> success(rows, text, at, last));
        Arbitrary<ForwardedResult> failed =
                texts().map(text -> new ForwardedResult.Failed(text, text, text, text.length()));
        return Arbitraries.oneOf(succeeded, failed, texts().map(ForwardedResult.Declined::new));
    }

    private static ForwardedResult success(
            List<String> rows, String text, Option<Position> at, Option<Position> last) {
        return new ForwardedResult.Succeeded(rows, text, at, last, text);
    }

    @Property(seed = SEED)
    void statementsSurviveTheRoundTrip(@ForAll("statements") ForwardedStatement statement) {
        byte[] bytes = ForwardingCodec.encode(statement).toByteArray();
        ForwardingFrame frame = ForwardingCodec.decodeFrame(bytes).get();
        assertThat(ForwardingCodec.decode(frame.getStatement())).isEqualTo(Either.right(statement));
    }

    @Property(seed = SEED)
    void resultsSurviveTheRoundTrip(
            @ForAll long stream, @ForAll("results") ForwardedResult result) {
        byte[] bytes = ForwardingCodec.encode(stream, result).toByteArray();
        ForwardingFrame frame = ForwardingCodec.decodeFrame(bytes).get();
        assertThat(frame.getResult().getStream()).isEqualTo(stream);
        assertThat(ForwardingCodec.decode(frame.getResult())).isEqualTo(Either.right(result));
    }

    @Property(seed = SEED, tries = 5_000)
    void malformedBytesAreAnErrorAndNoException(@ForAll byte[] bytes) {
        ForwardingCodec.decodeFrame(bytes)
                .peek(frame -> ForwardingCodec.decode(frame.getStatement()))
                .peek(frame -> ForwardingCodec.decode(frame.getResult()));
    }

    @Property(seed = SEED, tries = 2_000)
    void aDamagedStatementIsAnErrorAndNoException(
            @ForAll("statements") ForwardedStatement statement,
            @ForAll int at,
            @ForAll byte value) {
        byte[] bytes = ForwardingCodec.encode(statement).toByteArray();
        bytes[Math.floorMod(at, bytes.length)] = value;
        ForwardingCodec.decodeFrame(bytes)
                .peek(frame -> ForwardingCodec.decode(frame.getStatement()));
    }
}
