package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.requireNonEmpty;
import static org.ragwortmoor.protocol.MalformedException.requireNonNegative;
import static org.ragwortmoor.protocol.MalformedException.requirePresent;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.List;
import org.ragwortmoor.protocol.wire.BeginCall;
import org.ragwortmoor.protocol.wire.CallMessage;
import org.ragwortmoor.protocol.wire.CommitCall;
import org.ragwortmoor.protocol.wire.EndpointFrame;
import org.ragwortmoor.protocol.wire.FenceCall;
import org.ragwortmoor.protocol.wire.FollowCall;
import org.ragwortmoor.protocol.wire.HelloCall;
import org.ragwortmoor.protocol.wire.InTransactionCall;
import org.ragwortmoor.protocol.wire.OperationMessage;
import org.ragwortmoor.protocol.wire.PingCall;
import org.ragwortmoor.protocol.wire.PositionMessage;
import org.ragwortmoor.protocol.wire.PromoteCall;
import org.ragwortmoor.protocol.wire.ReadCall;
import org.ragwortmoor.protocol.wire.ReadRecordMessage;
import org.ragwortmoor.protocol.wire.ResetCall;
import org.ragwortmoor.protocol.wire.ResolveCall;
import org.ragwortmoor.protocol.wire.StatusCall;
import org.ragwortmoor.protocol.wire.WriteCall;
import org.ragwortmoor.protocol.wire.WriteIdentityMessage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Converts endpoint calls, answers and their parts to and from protobuf. */
public final class EndpointCodec {
    private EndpointCodec() {}

    /** Encodes a call as a frame. */
    public static EndpointFrame frame(long exchange, EndpointCall call) {
        return EndpointFrame.newBuilder().setExchange(exchange).setCall(encode(call)).build();
    }

    /** Encodes the answer to the call with the same exchange number as a frame. */
    public static EndpointFrame frame(long exchange, EndpointAnswer answer) {
        return EndpointFrame.newBuilder()
                .setExchange(exchange)
                .setAnswer(EndpointAnswerCodec.encode(answer))
                .build();
    }

    /** Parses a frame without checking the fields of its content. */
    public static Either<ProtocolError, EndpointFrame> parse(ByteBuffer bytes) {
        return MalformedException.tryConvert(() -> EndpointFrame.parseFrom(bytes));
    }

    /** Decodes the call in a frame, or returns an error if there is none or it is invalid. */
    public static Either<ProtocolError, EndpointCall> decodeCall(EndpointFrame frame) {
        return MalformedException.tryConvert(
                () -> {
                    requirePresent(frame.hasCall(), "call");
                    return decode(frame.getCall());
                });
    }

    /** Decodes the answer in a frame, or returns an error if there is none or it is invalid. */
    public static Either<ProtocolError, EndpointAnswer> decodeAnswer(EndpointFrame frame) {
        return MalformedException.tryConvert(
                () -> {
                    requirePresent(frame.hasAnswer(), "answer");
                    return EndpointAnswerCodec.decode(frame.getAnswer());
                });
    }

    /** Encodes a position. */
    public static PositionMessage encode(Position position) {
        return StateCodec.encode(position);
    }

    /** Decodes a position, or returns an error if its term or index is negative. */
    public static Either<ProtocolError, Position> decodePosition(PositionMessage message) {
        return MalformedException.tryConvert(() -> StateCodec.decode(message));
    }

    /** Encodes the identity of a write. */
    public static WriteIdentityMessage encode(WriteIdentity identity) {
        return StateCodec.encode(identity);
    }

    /** Decodes the identity of a write, or returns an error if its key or attempt is missing. */
    public static Either<ProtocolError, WriteIdentity> decodeIdentity(
            WriteIdentityMessage message) {
        return MalformedException.tryConvert(() -> StateCodec.decode(message));
    }

    /** Encodes records. */
    public static List<ReadRecordMessage> encodeRecords(List<ReadRecord> records) {
        return records.stream().map(StateCodec::encode).toList();
    }

    /** Decodes records, or returns an error if a key is missing. */
    public static Either<ProtocolError, List<ReadRecord>> decodeRecords(
            List<ReadRecordMessage> messages) {
        return MalformedException.tryConvert(() -> StateCodec.decodeRecords(messages));
    }

    private static CallMessage encode(EndpointCall call) {
        CallMessage.Builder builder = CallMessage.newBuilder();
        if (call instanceof EndpointCall.Hello hello) {
            builder.setHello(
                    HelloCall.newBuilder()
                            .setClient(hello.client())
                            .setAdministrative(hello.administrative()));
        } else if (call instanceof EndpointCall.Ping) {
            builder.setPing(PingCall.getDefaultInstance());
        } else if (call instanceof EndpointCall.Status status) {
            builder.setStatus(
                    StatusCall.newBuilder()
                            .setAwaited(StateCodec.encode(status.awaited()))
                            .setWaitMicros(status.waitMicros()));
        } else if (call instanceof EndpointCall.Fence fence) {
            builder.setFence(FenceCall.newBuilder().setTerm(fence.term()));
        } else if (call instanceof EndpointCall.Promote promote) {
            builder.setPromote(PromoteCall.newBuilder().setTerm(promote.term()));
        } else if (call instanceof EndpointCall.Follow follow) {
            builder.setFollow(
                    FollowCall.newBuilder()
                            .setTerm(follow.term())
                            .setPrimaryAddress(follow.primaryAddress()));
        } else {
            encodeStatement(call, builder);
        }
        return builder.build();
    }

    private static void encodeStatement(EndpointCall call, CallMessage.Builder builder) {
        if (call instanceof EndpointCall.Read read) {
            builder.setRead(
                    ReadCall.newBuilder()
                            .addAllOperations(operations(read.operations()))
                            .setServiceMicros(read.serviceMicros()));
        } else if (call instanceof EndpointCall.Write write) {
            builder.setWrite(
                    WriteCall.newBuilder()
                            .setTerm(write.term())
                            .addAllOperations(operations(write.operations()))
                            .setIdentity(StateCodec.encode(write.identity()))
                            .setServiceMicros(write.serviceMicros()));
        } else if (call instanceof EndpointCall.Begin begin) {
            builder.setBegin(BeginCall.newBuilder().setTerm(begin.term()));
        } else if (call instanceof EndpointCall.InTransaction statement) {
            builder.setInTransaction(
                    InTransactionCall.newBuilder()
                            .setTransaction(statement.transaction())
                            .addAllOperations(operations(statement.operations()))
                            .setServiceMicros(statement.serviceMicros()));
        } else if (call instanceof EndpointCall.Commit commit) {
            builder.setCommit(
                    CommitCall.newBuilder()
                            .setTransaction(commit.transaction())
                            .setIdentity(StateCodec.encode(commit.identity())));
        } else if (call instanceof EndpointCall.Reset) {
            builder.setReset(ResetCall.getDefaultInstance());
        } else if (call instanceof EndpointCall.Resolve resolve) {
            builder.setResolve(
                    ResolveCall.newBuilder()
                            .setTerm(resolve.term())
                            .setIdentity(StateCodec.encode(resolve.identity())));
        }
    }

    private static List<OperationMessage> operations(List<Operation> operations) {
        return operations.stream().map(StateCodec::encode).toList();
    }

    private static EndpointCall decode(CallMessage message) throws MalformedException {
        return switch (message.getKindCase()) {
            case HELLO ->
                    new EndpointCall.Hello(
                            requireNonEmpty(message.getHello().getClient(), "hello.client"),
                            message.getHello().getAdministrative());
            case PING -> new EndpointCall.Ping();
            case READ ->
                    new EndpointCall.Read(
                            StateCodec.decodeOperations(message.getRead().getOperationsList()),
                            requireServiceMicros(message.getRead().getServiceMicros()));
            case WRITE -> decode(message.getWrite());
            case BEGIN -> new EndpointCall.Begin(requireTerm(message.getBegin().getTerm()));
            case IN_TRANSACTION ->
                    new EndpointCall.InTransaction(
                            message.getInTransaction().getTransaction(),
                            StateCodec.decodeOperations(
                                    message.getInTransaction().getOperationsList()),
                            requireServiceMicros(message.getInTransaction().getServiceMicros()));
            case COMMIT -> decode(message.getCommit());
            case RESET -> new EndpointCall.Reset();
            case STATUS -> decode(message.getStatus());
            case RESOLVE -> decode(message.getResolve());
            case FENCE -> new EndpointCall.Fence(requireTerm(message.getFence().getTerm()));
            case PROMOTE -> new EndpointCall.Promote(requireTerm(message.getPromote().getTerm()));
            case FOLLOW ->
                    new EndpointCall.Follow(
                            requireTerm(message.getFollow().getTerm()),
                            requireNonEmpty(
                                    message.getFollow().getPrimaryAddress(), "follow.address"));
            case KIND_NOT_SET -> throw MalformedException.missing("call");
        };
    }

    private static EndpointCall decode(WriteCall message) throws MalformedException {
        requirePresent(message.hasIdentity(), "write.identity");
        return new EndpointCall.Write(
                requireTerm(message.getTerm()),
                StateCodec.decodeOperations(message.getOperationsList()),
                StateCodec.decode(message.getIdentity()),
                requireServiceMicros(message.getServiceMicros()));
    }

    private static EndpointCall decode(CommitCall message) throws MalformedException {
        requirePresent(message.hasIdentity(), "commit.identity");
        return new EndpointCall.Commit(
                message.getTransaction(), StateCodec.decode(message.getIdentity()));
    }

    private static EndpointCall decode(StatusCall message) throws MalformedException {
        requirePresent(message.hasAwaited(), "status.awaited");
        return new EndpointCall.Status(
                StateCodec.decode(message.getAwaited()),
                requireNonNegative(message.getWaitMicros(), "status.wait_micros"));
    }

    private static EndpointCall decode(ResolveCall message) throws MalformedException {
        requirePresent(message.hasIdentity(), "resolve.identity");
        return new EndpointCall.Resolve(
                requireTerm(message.getTerm()), StateCodec.decode(message.getIdentity()));
    }

    private static long requireTerm(long value) throws MalformedException {
        return requireNonNegative(value, "term");
    }

    private static long requireServiceMicros(long micros) throws MalformedException {
        return requireNonNegative(micros, "service_micros");
    }
}
