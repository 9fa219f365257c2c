package org.ragwortmoor.protocol;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ragwortmoor.coordination.session.ForwardedResult;
import org.ragwortmoor.coordination.session.ForwardedStatement;
import org.ragwortmoor.protocol.wire.ForwardedFailureMessage;
import org.ragwortmoor.protocol.wire.ForwardedResultMessage;
import org.ragwortmoor.protocol.wire.ForwardedStatementMessage;
import org.ragwortmoor.protocol.wire.ForwardedSuccessMessage;
import org.ragwortmoor.protocol.wire.ForwardingFrame;
import org.ragwortmoor.protocol.wire.PreparedShapeMessage;
import org.ragwortmoor.protocol.wire.SessionValueMessage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.PreparedShape;

/** Converts forwarded statements and their results to and from protobuf. */
public final class ForwardingCodec {
    private ForwardingCodec() {}

    /** Parses a frame; returns an error if it is malformed. */
    public static Either<ProtocolError, ForwardingFrame> decodeFrame(byte[] bytes) {
        return MalformedException.tryConvert(() -> ForwardingFrame.parseFrom(bytes));
    }

    /** Encodes a statement. */
    public static ForwardingFrame encode(ForwardedStatement statement) {
        ForwardedStatementMessage.Builder message =
                ForwardedStatementMessage.newBuilder()
                        .setStream(statement.stream())
                        .setFirst(statement.first())
                        .setId(statement.id())
                        .setText(statement.text())
                        .setRoute(DirectoryCodec.encode(statement.route()))
                        .setLastCommit(format(statement.lastCommit()))
                        .setMode(statement.mode().name())
                        .setTransactionAgeMillis(statement.transactionAgeMillis())
                        .setValuesChanged(statement.valuesChanged())
                        .setMayDecline(statement.mayDecline())
                        .setWorkspace(statement.workspace());
        for (PreparedShape shape : statement.shape()) {
            message.setShape(
                    PreparedShapeMessage.newBuilder()
                            .setWrites(shape.writes())
                            .setShape(shape.shape())
                            .setArguments(statement.arguments()));
        }
        statement
                .values()
                .forEach(
                        (name, value) ->
                                message.addValues(
                                        SessionValueMessage.newBuilder()
                                                .setName(name)
                                                .setValue(value)));
        return ForwardingFrame.newBuilder().setStatement(message).build();
    }

    /** Decodes a statement, or returns an error that names the invalid field. */
    public static Either<ProtocolError, ForwardedStatement> decode(
            ForwardedStatementMessage message) {
        return MalformedException.tryConvert(() -> statement(message));
    }

    private static ForwardedStatement statement(ForwardedStatementMessage message)
            throws MalformedException {
        Map<String, String> values = new LinkedHashMap<>();
        message.getValuesList().forEach(v -> values.put(v.getName(), v.getValue()));
        PreparedShapeMessage shape = message.getShape();
        return new ForwardedStatement(
                message.getStream(),
                message.getFirst(),
                message.getId(),
                message.getText(),
                Option.when(
                        message.hasShape(),
                        () -> new PreparedShape(shape.getWrites(), shape.getShape())),
                shape.getArguments(),
                DirectoryCodec.decode(message.getRoute()),
                values,
                PositionField.parse(message.getLastCommit()),
                DirectoryCodec.enumValue(
                        ForwardedStatement.Mode.class, message.getMode(), "statement.mode"),
                message.getTransactionAgeMillis(),
                message.getValuesChanged(),
                message.getMayDecline(),
                message.getWorkspace());
    }

    /** Encodes the result of a statement; a lost result cannot be encoded. */
    public static ForwardingFrame encode(long stream, ForwardedResult result) {
        ForwardedResultMessage.Builder message =
                ForwardedResultMessage.newBuilder().setStream(stream);
        if (result instanceof ForwardedResult.Succeeded succeeded) {
            message.setSucceeded(
                    ForwardedSuccessMessage.newBuilder()
                            .addAllRows(succeeded.rows())
                            .setSignature(succeeded.signature())
                            .setPosition(format(succeeded.position()))
                            .setLastCommit(format(succeeded.lastCommit()))
                            .setServer(succeeded.server()));
        } else if (result instanceof ForwardedResult.Failed failed) {
            message.setFailed(
                    ForwardedFailureMessage.newBuilder()
                            .setCode(failed.code())
                            .setReason(failed.reason())
                            .setServer(failed.server())
                            .setRetryAfterMillis(failed.retryAfterMillis()));
        } else if (result instanceof ForwardedResult.Declined declined) {
            message.setDeclined(declined.reason());
        } else {
            throw new IllegalArgumentException("a lost result is not sent: " + result);
        }
        return ForwardingFrame.newBuilder().setResult(message).build();
    }

    /** Decodes the result of a statement, or returns an error that names the missing field. */
    public static Either<ProtocolError, ForwardedResult> decode(ForwardedResultMessage message) {
        return MalformedException.tryConvert(() -> result(message));
    }

    private static ForwardedResult result(ForwardedResultMessage message)
            throws MalformedException {
        return switch (message.getResultCase()) {
            case SUCCEEDED -> {
                ForwardedSuccessMessage succeeded = message.getSucceeded();
                yield new ForwardedResult.Succeeded(
                        succeeded.getRowsList(),
                        succeeded.getSignature(),
                        PositionField.parse(succeeded.getPosition()),
                        PositionField.parse(succeeded.getLastCommit()),
                        succeeded.getServer());
            }
            case FAILED ->
                    new ForwardedResult.Failed(
                            message.getFailed().getCode(),
                            message.getFailed().getReason(),
                            message.getFailed().getServer(),
                            message.getFailed().getRetryAfterMillis());
            case DECLINED -> new ForwardedResult.Declined(message.getDeclined());
            case RESULT_NOT_SET -> throw MalformedException.missing("result");
        };
    }

    private static String format(Option<Position> position) {
        return position.map(PositionField::format).getOrElse("");
    }
}
