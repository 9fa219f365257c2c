package org.ragwortmoor.coordination.control;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.ragwortmoor.state.wire.ControlCommandRecord;
import org.ragwortmoor.state.wire.ControlSnapshotRecord;

/** Encodes commands for the replicated log and states for snapshots. */
public final class ControlStateCodec {
    private ControlStateCodec() {}

    /** Returns the durable form of a command. */
    public static byte[] encodeCommand(ControlCommand command) {
        return CommandRecords.toRecord(command).toByteArray();
    }

    /** Returns the command, or why the bytes are none; a newer version may have written them. */
    public static Either<String, ControlCommand> decodeCommand(byte[] bytes) {
        try {
            return CommandRecords.fromRecord(ControlCommandRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            return Either.left("damaged control command: " + e.getMessage());
        }
    }

    /** Returns the durable form of a state; equal states give equal bytes. */
    public static byte[] encodeSnapshot(ControlState state) {
        return SnapshotRecords.toRecord(state).toByteArray();
    }

    /** Returns the state, or why the bytes are none. */
    public static Either<String, ControlState> decodeSnapshot(byte[] bytes) {
        try {
            return Either.right(SnapshotRecords.fromRecord(ControlSnapshotRecord.parseFrom(bytes)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return Either.left("damaged control snapshot: " + e.getMessage());
        }
    }
}
