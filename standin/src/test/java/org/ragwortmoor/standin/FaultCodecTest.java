package org.ragwortmoor.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragwortmoor.protocol.wire.FaultSwitchMessage;
import org.ragwortmoor.standin.FaultSwitch.Direction;

/** Guards against fault switches that mean something else on the other side of the wire. */
class FaultCodecTest {
    static Stream<FaultSwitch> switches() {
        return Stream.of(
                new FaultSwitch.SilenceConnections("proxy-1", 2),
                new FaultSwitch.SilenceAll(true),
                new FaultSwitch.RefuseConnections(true),
                new FaultSwitch.ExtraDelay(5),
                new FaultSwitch.CrossAnswers(3, 7),
                new FaultSwitch.DuplicateAnswers(4),
                new FaultSwitch.CutOff(List.of("127.0.0.1", "e2"), Direction.BOTH),
                new FaultSwitch.CutOff(List.of("*"), Direction.INBOUND),
                new FaultSwitch.CutOff(List.of(), Direction.OUTBOUND),
                new FaultSwitch.StopReplication(true),
                new FaultSwitch.Leaving(true),
                new FaultSwitch.ReplicationLag(9),
                new FaultSwitch.Clear());
    }

    @ParameterizedTest
    @MethodSource("switches")
    void switchesSurviveTheRoundTrip(FaultSwitch fault) {
        assertThat(FaultCodec.decode(FaultCodec.encode(fault))).isEqualTo(Either.right(fault));
    }

    @Test
    void invalidSwitchesAreErrors() {
        assertThat(FaultCodec.decode(FaultSwitchMessage.getDefaultInstance()).isLeft()).isTrue();
        assertThat(
                        FaultCodec.decode(
                                        FaultSwitchMessage.newBuilder().setDelayMicros(-1).build())
                                .isLeft())
                .isTrue();
    }
}
