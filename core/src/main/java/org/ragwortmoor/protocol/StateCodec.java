package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.requireNonEmpty;
import static org.ragwortmoor.protocol.MalformedException.requireNonNegative;
import static org.ragwortmoor.protocol.MalformedException.requirePositive;
import static org.ragwortmoor.protocol.MalformedException.requirePresent;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.protocol.wire.DeleteMessage;
import org.ragwortmoor.protocol.wire.EndpointStatusMessage;
import org.ragwortmoor.protocol.wire.GetMessage;
import org.ragwortmoor.protocol.wire.IncrementMessage;
import org.ragwortmoor.protocol.wire.OperationMessage;
import org.ragwortmoor.protocol.wire.PositionMessage;
import org.ragwortmoor.protocol.wire.PutMessage;
import org.ragwortmoor.protocol.wire.ReadRecordMessage;
import org.ragwortmoor.protocol.wire.ScanMessage;
import org.ragwortmoor.protocol.wire.TermStartMessage;
import org.ragwortmoor.protocol.wire.WriteIdentityMessage;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Converts the types that calls, answers, log entries and announcements share. */
final class StateCodec {
    private StateCodec() {}

    static PositionMessage encode(Position position) {
        return PositionMessage.newBuilder()
                .setTerm(position.term())
                .setIndex(position.index())
                .build();
    }

    static Position decode(PositionMessage message) throws MalformedException {
        return new Position(
                requireNonNegative(message.getTerm(), "position.term"),
                requireNonNegative(message.getIndex(), "position.index"));
    }

    static EndpointStatusMessage encode(EndpointStatus status) {
        EndpointStatusMessage.Builder builder =
                EndpointStatusMessage.newBuilder()
                        .setPromisedTerm(status.promisedTerm())
                        .setPrimary(status.primary())
                        .setLast(encode(status.last()))
                        .setRunning(status.running())
                        .setQueued(status.queued())
                        .setConnections(status.connections())
                        .setLeaving(status.leaving())
                        .setIncarnation(status.incarnation());
        for (TermStart start : status.history().starts()) {
            builder.addHistory(
                    TermStartMessage.newBuilder().setTerm(start.term()).setIndex(start.index()));
        }
        return builder.build();
    }

    static EndpointStatus decode(EndpointStatusMessage message) throws MalformedException {
        requirePresent(message.hasLast(), "status.last");
        return new EndpointStatus(
                requireNonNegative(message.getPromisedTerm(), "status.promised_term"),
                message.getPrimary(),
                decode(message.getLast()),
                decodeHistory(message.getHistoryList()),
                requireNonNegative(message.getRunning(), "status.running"),
                requireNonNegative(message.getQueued(), "status.queued"),
                requireNonNegative(message.getConnections(), "status.connections"),
                message.getLeaving(),
                message.getIncarnation());
    }

    private static TermHistory decodeHistory(List<TermStartMessage> messages)
            throws MalformedException {
        List<TermStart> starts = new ArrayList<>(messages.size());
        long term = -1;
        long index = -1;
        for (TermStartMessage message : messages) {
            if (message.getTerm() <= term || message.getIndex() <= index) {
                throw new MalformedException(
                        ProtocolError.Kind.OUT_OF_RANGE, "status.history does not ascend");
            }
            term = message.getTerm();
            index = message.getIndex();
            starts.add(new TermStart(term, index));
        }
        return new TermHistory(starts);
    }

    static WriteIdentityMessage encode(WriteIdentity identity) {
        return WriteIdentityMessage.newBuilder()
                .setKey(identity.key())
                .setAttempt(identity.attempt())
                .build();
    }

    static WriteIdentity decode(WriteIdentityMessage message) throws MalformedException {
        return new WriteIdentity(
                requireNonEmpty(message.getKey(), "identity.key"),
                requirePositive(message.getAttempt(), "identity.attempt"));
    }

    static ReadRecordMessage encode(ReadRecord record) {
        ReadRecordMessage.Builder builder = ReadRecordMessage.newBuilder().setKey(record.key());
        record.value().forEach(builder::setValue);
        return builder.build();
    }

    static ReadRecord decode(ReadRecordMessage message) throws MalformedException {
        return new ReadRecord(
                requireNonEmpty(message.getKey(), "record.key"),
                message.hasValue() ? Option.some(message.getValue()) : Option.none());
    }

    static List<ReadRecord> decodeRecords(List<ReadRecordMessage> messages)
            throws MalformedException {
        List<ReadRecord> records = new ArrayList<>(messages.size());
        for (ReadRecordMessage message : messages) {
            records.add(decode(message));
        }
        return records;
    }

    static OperationMessage encode(Operation operation) {
        OperationMessage.Builder builder = OperationMessage.newBuilder();
        if (operation instanceof Operation.Get get) {
            builder.setGet(GetMessage.newBuilder().setKey(get.key()));
        } else if (operation instanceof Operation.Put put) {
            builder.setPut(PutMessage.newBuilder().setKey(put.key()).setValue(put.value()));
        } else if (operation instanceof Operation.Delete delete) {
            builder.setDelete(DeleteMessage.newBuilder().setKey(delete.key()));
        } else if (operation instanceof Operation.Increment increment) {
            builder.setIncrement(
                    IncrementMessage.newBuilder()
                            .setKey(increment.key())
                            .setDelta(increment.delta()));
        } else if (operation instanceof Operation.Scan scan) {
            builder.setScan(
                    ScanMessage.newBuilder()
                            .setPrefix(scan.prefix())
                            .setAfter(scan.after())
                            .setLimit(scan.limit()));
        }
        return builder.build();
    }

    static Operation decode(OperationMessage message) throws MalformedException {
        return switch (message.getKindCase()) {
            case GET -> new Operation.Get(requireNonEmpty(message.getGet().getKey(), "get.key"));
            case PUT ->
                    new Operation.Put(
                            requireNonEmpty(message.getPut().getKey(), "put.key"),
                            message.getPut().getValue());
            case DELETE ->
                    new Operation.Delete(
                            requireNonEmpty(message.getDelete().getKey(), "delete.key"));
            case INCREMENT ->
                    new Operation.Increment(
                            requireNonEmpty(message.getIncrement().getKey(), "increment.key"),
                            message.getIncrement().getDelta());
            case SCAN ->
                    new Operation.Scan(
                            message.getScan().getPrefix(),
                            message.getScan().getAfter(),
                            requirePositive(message.getScan().getLimit(), "scan.limit"));
            case KIND_NOT_SET -> throw MalformedException.missing("operation");
        };
    }

    static List<Operation> decodeOperations(List<OperationMessage> messages)
            throws MalformedException {
        List<Operation> operations = new ArrayList<>(messages.size());
        for (OperationMessage message : messages) {
            operations.add(decode(message));
        }
        return operations;
    }
}
