package org.ragwortmoor.coordination.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.ragwortmoor.state.wire.ControlCommandRecord;
import org.ragwortmoor.state.wire.ControlSnapshotRecord;

/** Encodes commands for the replicated log and states for snapshots. */
public final class ControlStateCodec {
    private ControlStateCodec() {}

    /** Serializes a command. */
    public static byte[] encodeCommand(ControlCommand command) {
        return CommandRecords.toRecord(command).toByteArray();
    }

    /**
     * Parses a command, or returns the reason why the bytes cannot be parsed; a newer release may
     * have written them.
     */
    public static Either<String, ControlCommand> decodeCommand(byte[] bytes) {
        try {
            return CommandRecords.fromRecord(ControlCommandRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            return Either.left("damaged control command: " + e.getMessage());
        }
    }

    /** Serializes a state; equal states give equal bytes. */
    public static byte[] encodeSnapshot(ControlState state) {
        return SnapshotRecords.toRecord(state).toByteArray();
    }

    /** Parses a state, or returns the reason why the bytes cannot be parsed. */
    public static Either<String, ControlState> decodeSnapshot(byte[] bytes) {
        try {
            return Either.right(SnapshotRecords.fromRecord(ControlSnapshotRecord.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Either.left("damaged control snapshot: " + e.getMessage());
        }
    }
}
