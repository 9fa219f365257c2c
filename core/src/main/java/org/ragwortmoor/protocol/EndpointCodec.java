package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.notEmpty;
import static org.ragwortmoor.protocol.MalformedException.notNegative;
import static org.ragwortmoor.protocol.MalformedException.present;

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

/** Converts endpoint calls and answers to frames and back. */
public final class EndpointCodec {
    private EndpointCodec() {}

    /** Returns the frame of a call. */
    public static EndpointFrame frame(long exchange, EndpointCall call) {
        return EndpointFrame.newBuilder().setExchange(exchange).setCall(encode(call)).build();
    }

    /** Returns the frame of an answer to the call of the same exchange. */
    public static EndpointFrame frame(long exchange, EndpointAnswer answer) {
        return EndpointFrame.newBuilder()
                .setExchange(exchange)
                .setAnswer(EndpointAnswers.encode(answer))
                .build();
    }

    /** Parses the bytes of one frame; the content of the frame is not checked yet. */
    public static Either<ProtocolError, EndpointFrame> parse(ByteBuffer bytes) {
        return MalformedException.guard(() -> EndpointFrame.parseFrom(bytes));
    }

    /** Returns the call in a frame, or an error if it holds none or an invalid one. */
    public static Either<ProtocolError, EndpointCall> call(EndpointFrame frame) {
        return MalformedException.guard(
                () -> {
                    present(frame.hasCall(), "call");
                    return decode(frame.getCall());
                });
    }

    /** Returns the answer in a frame, or an error if it holds none or an invalid one. */
    public static Either<ProtocolError, EndpointAnswer> answer(EndpointFrame frame) {
        return MalformedException.guard(
                () -> {
                    present(frame.hasAnswer(), "answer");
                    return EndpointAnswers.decode(frame.getAnswer());
                });
    }

    /** Returns the message of a position. */
    public static PositionMessage encode(Position position) {
        return StateCodec.encode(position);
    }

    /** Returns the position in a message, or an error if a part is negative. */
    public static Either<ProtocolError, Position> position(PositionMessage message) {
        return MalformedException.guard(() -> StateCodec.decode(message));
    }

    /** Returns the message of a write's identity. */
    public static WriteIdentityMessage encode(WriteIdentity identity) {
        return StateCodec.encode(identity);
    }

    /** Returns the identity in a message, or an error if the key or the attempt is missing. */
    public static Either<ProtocolError, WriteIdentity> identity(WriteIdentityMessage message) {
        return MalformedException.guard(() -> StateCodec.decode(message));
    }

    /** Returns the messages of records. */
    public static List<ReadRecordMessage> encodeRecords(List<ReadRecord> records) {
        return records.stream().map(StateCodec::encode).toList();
    }

    /** Returns the records in messages, or an error if a key is missing. */
    public static Either<ProtocolError, List<ReadRecord>> records(
            List<ReadRecordMessage> messages) {
        return MalformedException.guard(() -> StateCodec.decodeRecords(messages));
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
                            notEmpty(message.getHello().getClient(), "hello.client"),
                            message.getHello().getAdministrative());
            case PING -> new EndpointCall.Ping();
            case READ ->
                    new EndpointCall.Read(
                            StateCodec.decodeOperations(message.getRead().getOperationsList()),
                            service(message.getRead().getServiceMicros()));
            case WRITE -> decode(message.getWrite());
            case BEGIN -> new EndpointCall.Begin(term(message.getBegin().getTerm()));
            case IN_TRANSACTION ->
                    new EndpointCall.InTransaction(
                            message.getInTransaction().getTransaction(),
                            StateCodec.decodeOperations(
                                    message.getInTransaction().getOperationsList()),
                            service(message.getInTransaction().getServiceMicros()));
            case COMMIT -> decode(message.getCommit());
            case RESET -> new EndpointCall.Reset();
            case STATUS -> decode(message.getStatus());
            case RESOLVE -> decode(message.getResolve());
            case FENCE -> new EndpointCall.Fence(term(message.getFence().getTerm()));
            case PROMOTE -> new EndpointCall.Promote(term(message.getPromote().getTerm()));
            case FOLLOW ->
                    new EndpointCall.Follow(
                            term(message.getFollow().getTerm()),
                            notEmpty(message.getFollow().getPrimaryAddress(), "follow.address"));
            case KIND_NOT_SET -> throw MalformedException.missing("call");
        };
    }

    private static EndpointCall decode(WriteCall message) throws MalformedException {
        present(message.hasIdentity(), "write.identity");
        return new EndpointCall.Write(
                term(message.getTerm()),
                StateCodec.decodeOperations(message.getOperationsList()),
                StateCodec.decode(message.getIdentity()),
                service(message.getServiceMicros()));
    }

    private static EndpointCall decode(CommitCall message) throws MalformedException {
        present(message.hasIdentity(), "commit.identity");
        return new EndpointCall.Commit(
                message.getTransaction(), StateCodec.decode(message.getIdentity()));
    }

    private static EndpointCall decode(StatusCall message) throws MalformedException {
        present(message.hasAwaited(), "status.awaited");
        return new EndpointCall.Status(
                StateCodec.decode(message.getAwaited()),
                notNegative(message.getWaitMicros(), "status.wait_micros"));
    }

    private static EndpointCall decode(ResolveCall message) throws MalformedException {
        present(message.hasIdentity(), "resolve.identity");
        return new EndpointCall.Resolve(
                term(message.getTerm()), StateCodec.decode(message.getIdentity()));
    }

    private static long term(long value) throws MalformedException {
        return notNegative(value, "term");
    }

    private static long service(long micros) throws MalformedException {
        return notNegative(micros, "service_micros");
    }
}
