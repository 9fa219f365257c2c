package org.ragwortmoor.standin;

import io.vavr.control.Either;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.ClearFaults;
import org.ragwortmoor.protocol.wire.CrossAnswersFault;
import org.ragwortmoor.protocol.wire.CutDirection;
import org.ragwortmoor.protocol.wire.CutOffFault;
import org.ragwortmoor.protocol.wire.FaultSwitchMessage;
import org.ragwortmoor.protocol.wire.SilenceConnectionsFault;

/** Conversions of fault switches. */
final class FaultCodec {
    private FaultCodec() {}

    static FaultSwitchMessage encode(FaultSwitch fault) {
        FaultSwitchMessage.Builder builder = FaultSwitchMessage.newBuilder();
        if (fault instanceof FaultSwitch.SilenceConnections silence) {
            builder.setSilenceConnections(
                    SilenceConnectionsFault.newBuilder()
                            .setClient(silence.client())
                            .setCount(silence.count()));
        } else if (fault instanceof FaultSwitch.SilenceAll silence) {
            builder.setSilenceAll(silence.on());
        } else if (fault instanceof FaultSwitch.RefuseConnections refuse) {
            builder.setRefuseConnections(refuse.on());
        } else if (fault instanceof FaultSwitch.ExtraDelay delay) {
            builder.setDelayMicros(delay.micros());
        } else if (fault instanceof FaultSwitch.CrossAnswers cross) {
            builder.setCrossAnswers(
                    CrossAnswersFault.newBuilder()
                            .setCount(cross.count())
                            .setHoldMicros(cross.holdMicros()));
        } else if (fault instanceof FaultSwitch.DuplicateAnswers duplicate) {
            builder.setDuplicateAnswers(duplicate.count());
        } else if (fault instanceof FaultSwitch.CutOff cut) {
            builder.setCutOff(
                    CutOffFault.newBuilder()
                            .addAllPeers(cut.peers())
                            .setDirection(encode(cut.direction())));
        } else if (fault instanceof FaultSwitch.StopReplication stop) {
            builder.setStopReplication(stop.on());
        } else if (fault instanceof FaultSwitch.Leaving leaving) {
            builder.setLeaving(leaving.on());
        } else if (fault instanceof FaultSwitch.ReplicationLag lag) {
            builder.setReplicationLagMicros(lag.micros());
        } else {
            builder.setClear(ClearFaults.getDefaultInstance());
        }
        return builder.build();
    }

    private static CutDirection encode(FaultSwitch.Direction direction) {
        return switch (direction) {
            case BOTH -> CutDirection.CUT_DIRECTION_BOTH;
            case INBOUND -> CutDirection.CUT_DIRECTION_INBOUND;
            case OUTBOUND -> CutDirection.CUT_DIRECTION_OUTBOUND;
        };
    }

    static Either<ProtocolError, FaultSwitch> decode(FaultSwitchMessage message) {
        return switch (message.getKindCase()) {
            case SILENCE_CONNECTIONS ->
                    Either.right(
                            new FaultSwitch.SilenceConnections(
                                    message.getSilenceConnections().getClient(),
                                    message.getSilenceConnections().getCount()));
            case SILENCE_ALL -> Either.right(new FaultSwitch.SilenceAll(message.getSilenceAll()));
            case REFUSE_CONNECTIONS ->
                    Either.right(new FaultSwitch.RefuseConnections(message.getRefuseConnections()));
            case DELAY_MICROS ->
                    notNegative(message.getDelayMicros()).map(FaultSwitch.ExtraDelay::new);
            case CROSS_ANSWERS ->
                    notNegative(message.getCrossAnswers().getHoldMicros())
                            .map(
                                    hold ->
                                            new FaultSwitch.CrossAnswers(
                                                    message.getCrossAnswers().getCount(), hold));
            case DUPLICATE_ANSWERS ->
                    Either.right(new FaultSwitch.DuplicateAnswers(message.getDuplicateAnswers()));
            case CUT_OFF -> decode(message.getCutOff());
            case STOP_REPLICATION ->
                    Either.right(new FaultSwitch.StopReplication(message.getStopReplication()));
            case LEAVING -> Either.right(new FaultSwitch.Leaving(message.getLeaving()));
            case REPLICATION_LAG_MICROS ->
                    notNegative(message.getReplicationLagMicros())
                            .map(FaultSwitch.ReplicationLag::new);
            case CLEAR -> Either.right(new FaultSwitch.Clear());
            case KIND_NOT_SET ->
                    Either.left(
                            new ProtocolError(
                                    ProtocolError.Kind.MISSING,
                                    "fault switch is missing or unknown"));
        };
    }

    private static Either<ProtocolError, FaultSwitch> decode(CutOffFault cut) {
        FaultSwitch.Direction direction =
                switch (cut.getDirection()) {
                    case CUT_DIRECTION_INBOUND -> FaultSwitch.Direction.INBOUND;
                    case CUT_DIRECTION_OUTBOUND -> FaultSwitch.Direction.OUTBOUND;
                    case CUT_DIRECTION_BOTH, UNRECOGNIZED -> FaultSwitch.Direction.BOTH;
                };
        return Either.right(new FaultSwitch.CutOff(cut.getPeersList(), direction));
    }

    private static Either<ProtocolError, Long> notNegative(long micros) {
        return micros >= 0
                ? Either.right(micros)
                : Either.left(
                        new ProtocolError(
                                ProtocolError.Kind.OUT_OF_RANGE, "negative time: " + micros));
    }
}
