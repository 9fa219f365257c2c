package org.ragwortmoor.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.Arrays;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragwortmoor.protocol.wire.AnswerMessage;
import org.ragwortmoor.protocol.wire.CallMessage;
import org.ragwortmoor.protocol.wire.EndpointFrame;
import org.ragwortmoor.protocol.wire.EndpointStatusMessage;
import org.ragwortmoor.protocol.wire.FenceCall;
import org.ragwortmoor.protocol.wire.GetMessage;
import org.ragwortmoor.protocol.wire.OperationMessage;
import org.ragwortmoor.protocol.wire.PositionMessage;
import org.ragwortmoor.protocol.wire.ReadCall;
import org.ragwortmoor.protocol.wire.RefusedAnswer;
import org.ragwortmoor.protocol.wire.ResolveCall;
import org.ragwortmoor.protocol.wire.StatusReportAnswer;
import org.ragwortmoor.protocol.wire.TermStartMessage;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Guards against fields that are lost in a round trip and against exceptions on malformed input.
 */
class CodecTest {
    private static final String SEED = "20261204";

    @Provide
    Arbitrary<EndpointCall> calls() {
        return Generators.calls();
    }

    @Provide
    Arbitrary<EndpointAnswer> answers() {
        return Generators.answers();
    }

    @Provide
    Arbitrary<PeerEnvelope> envelopes() {
        return Generators.envelopes();
    }

    @Property(seed = SEED)
    void callsSurviveTheRoundTrip(@ForAll long exchange, @ForAll("calls") EndpointCall call) {
        byte[] bytes = EndpointCodec.frame(exchange, call).toByteArray();
        EndpointFrame frame = EndpointCodec.parse(ByteBuffer.wrap(bytes)).get();
        assertThat(frame.getExchange()).isEqualTo(exchange);
        assertThat(EndpointCodec.decodeCall(frame)).isEqualTo(Either.right(call));
        assertThat(EndpointCodec.decodeAnswer(frame).getLeft().kind())
                .isEqualTo(ProtocolError.Kind.MISSING);
    }

    @Property(seed = SEED)
    void answersSurviveTheRoundTrip(
            @ForAll long exchange, @ForAll("answers") EndpointAnswer answer) {
        byte[] bytes = EndpointCodec.frame(exchange, answer).toByteArray();
        EndpointFrame frame = EndpointCodec.parse(ByteBuffer.wrap(bytes)).get();
        assertThat(frame.getExchange()).isEqualTo(exchange);
        assertThat(EndpointCodec.decodeAnswer(frame)).isEqualTo(Either.right(answer));
        assertThat(EndpointCodec.decodeCall(frame).isLeft()).isTrue();
    }

    @Property(seed = SEED)
    void peerMessagesSurviveTheRoundTrip(@ForAll("envelopes") PeerEnvelope envelope) {
        byte[] bytes = PeerCodec.encode(envelope).toByteArray();
        assertThat(PeerCodec.decode(ByteBuffer.wrap(bytes))).isEqualTo(Either.right(envelope));
    }

    @Property(seed = SEED)
    void randomBytesAreDecodedOrRejected(@ForAll @Size(max = 64) byte[] bytes) {
        assertDoesNotThrow(bytes);
    }

    @Property(seed = SEED)
    void damagedMessagesAreDecodedOrRejected(
            @ForAll("envelopes") PeerEnvelope envelope,
            @ForAll("calls") EndpointCall call,
            @ForAll("answers") EndpointAnswer answer,
            @ForAll int place,
            @ForAll byte value) {
        assertDoesNotThrow(damaged(PeerCodec.encode(envelope).toByteArray(), place, value));
        assertDoesNotThrow(damaged(EndpointCodec.frame(1, call).toByteArray(), place, value));
        assertDoesNotThrow(damaged(EndpointCodec.frame(1, answer).toByteArray(), place, value));
    }

    private static byte[] damaged(byte[] bytes, int place, byte value) {
        int index = Math.floorMod(place, bytes.length);
        byte[] changed = bytes.clone();
        changed[index] = value;
        return value % 2 == 0 ? changed : Arrays.copyOf(bytes, index);
    }

    private static void assertDoesNotThrow(byte[] bytes) {
        Either<ProtocolError, EndpointFrame> frame = EndpointCodec.parse(ByteBuffer.wrap(bytes));
        assertThat(frame.flatMap(EndpointCodec::decodeCall)).isNotNull();
        assertThat(frame.flatMap(EndpointCodec::decodeAnswer)).isNotNull();
        assertThat(PeerCodec.decode(ByteBuffer.wrap(bytes))).isNotNull();
    }

    static EndpointFrame[] invalidFrames() {
        PositionMessage negative = PositionMessage.newBuilder().setIndex(-1).build();
        EndpointStatusMessage descending =
                EndpointStatusMessage.newBuilder()
                        .setLast(PositionMessage.getDefaultInstance())
                        .addHistory(TermStartMessage.newBuilder().setTerm(2).setIndex(1))
                        .addHistory(TermStartMessage.newBuilder().setTerm(1).setIndex(2))
                        .build();
        OperationMessage missingKey =
                OperationMessage.newBuilder().setGet(GetMessage.getDefaultInstance()).build();
        return new EndpointFrame[] {
            EndpointFrame.getDefaultInstance(),
            call(CallMessage.newBuilder()),
            call(CallMessage.newBuilder().setFence(FenceCall.newBuilder().setTerm(-1))),
            call(CallMessage.newBuilder().setRead(ReadCall.newBuilder().addOperations(missingKey))),
            call(
                    CallMessage.newBuilder()
                            .setRead(
                                    ReadCall.newBuilder()
                                            .addOperations(OperationMessage.newBuilder()))),
            call(CallMessage.newBuilder().setResolve(ResolveCall.newBuilder().setTerm(1))),
            answer(AnswerMessage.newBuilder()),
            answer(AnswerMessage.newBuilder().setRefused(RefusedAnswer.newBuilder())),
            answer(
                    AnswerMessage.newBuilder()
                            .setRefused(RefusedAnswer.newBuilder().setKindValue(99))),
            answer(
                    AnswerMessage.newBuilder()
                            .setStatusReport(
                                    StatusReportAnswer.newBuilder().setStatus(descending))),
            answer(
                    AnswerMessage.newBuilder()
                            .setStatusReport(
                                    StatusReportAnswer.newBuilder()
                                            .setStatus(
                                                    EndpointStatusMessage.newBuilder()
                                                            .setLast(negative)))),
        };
    }

    @ParameterizedTest
    @MethodSource("invalidFrames")
    void invalidContentIsRejected(EndpointFrame frame) {
        assertThat(EndpointCodec.decodeCall(frame).isLeft()).isTrue();
        assertThat(EndpointCodec.decodeAnswer(frame).isLeft()).isTrue();
    }

    @Test
    void frameLimitErrorStatesBothSizes() {
        FrameLimits limits = new FrameLimits(100);
        assertThat(limits.check(100).isEmpty()).isTrue();
        assertThat(limits.check(-1).isDefined()).isTrue();
        ProtocolError error = limits.check(101).get();
        assertThat(error.kind()).isEqualTo(ProtocolError.Kind.TOO_LARGE);
        assertThat(error.message()).contains("101").contains("100");
    }

    private static EndpointFrame call(CallMessage.Builder call) {
        return EndpointFrame.newBuilder().setCall(call).build();
    }

    private static EndpointFrame answer(AnswerMessage.Builder answer) {
        return EndpointFrame.newBuilder().setAnswer(answer).build();
    }
}
