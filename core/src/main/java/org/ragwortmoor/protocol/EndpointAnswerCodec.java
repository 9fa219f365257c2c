package org.ragwortmoor.protocol;

import static org.ragwortmoor.protocol.MalformedException.requireNonNegative;
import static org.ragwortmoor.protocol.MalformedException.requirePresent;

import org.ragwortmoor.protocol.wire.AnswerMessage;
import org.ragwortmoor.protocol.wire.BeganAnswer;
import org.ragwortmoor.protocol.wire.RefusalKindMessage;
import org.ragwortmoor.protocol.wire.RefusedAnswer;
import org.ragwortmoor.protocol.wire.ResetDoneAnswer;
import org.ragwortmoor.protocol.wire.ResolvedAnswer;
import org.ragwortmoor.protocol.wire.ResultAnswer;
import org.ragwortmoor.protocol.wire.StatusReportAnswer;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** Converts endpoint answers to and from protobuf. */
final class EndpointAnswerCodec {
    private EndpointAnswerCodec() {}

    static AnswerMessage encode(EndpointAnswer answer) {
        AnswerMessage.Builder builder = AnswerMessage.newBuilder();
        if (answer instanceof EndpointAnswer.StatusReport report) {
            builder.setStatusReport(
                    StatusReportAnswer.newBuilder().setStatus(StateCodec.encode(report.status())));
        } else if (answer instanceof EndpointAnswer.Result result) {
            builder.setResult(encode(result));
        } else if (answer instanceof EndpointAnswer.Began began) {
            builder.setBegan(BeganAnswer.newBuilder().setTransaction(began.transaction()));
        } else if (answer instanceof EndpointAnswer.ResetDone) {
            builder.setResetDone(ResetDoneAnswer.getDefaultInstance());
        } else if (answer instanceof EndpointAnswer.Resolved resolved) {
            builder.setResolved(
                    ResolvedAnswer.newBuilder()
                            .setExecuted(resolved.executed())
                            .setPosition(StateCodec.encode(resolved.position())));
        } else if (answer instanceof EndpointAnswer.Refused refused) {
            builder.setRefused(
                    RefusedAnswer.newBuilder()
                            .setKind(encode(refused.kind()))
                            .setMessage(refused.message())
                            .setTerm(refused.term())
                            .setCancelledAttempt(refused.cancelledAttempt()));
        }
        return builder.build();
    }

    private static ResultAnswer encode(EndpointAnswer.Result result) {
        ResultAnswer.Builder builder =
                ResultAnswer.newBuilder()
                        .setPosition(StateCodec.encode(result.position()))
                        .setDuplicate(result.duplicate())
                        .setQueuedMicros(result.queuedMicros())
                        .setQueued(result.queued());
        for (ReadRecord record : result.records()) {
            builder.addRecords(StateCodec.encode(record));
        }
        return builder.build();
    }

    static EndpointAnswer decode(AnswerMessage message) throws MalformedException {
        return switch (message.getKindCase()) {
            case STATUS_REPORT -> {
                requirePresent(message.getStatusReport().hasStatus(), "status_report.status");
                yield new EndpointAnswer.StatusReport(
                        StateCodec.decode(message.getStatusReport().getStatus()));
            }
            case RESULT -> decode(message.getResult());
            case BEGAN -> new EndpointAnswer.Began(message.getBegan().getTransaction());
            case RESET_DONE -> new EndpointAnswer.ResetDone();
            case RESOLVED -> {
                requirePresent(message.getResolved().hasPosition(), "resolved.position");
                yield new EndpointAnswer.Resolved(
                        message.getResolved().getExecuted(),
                        StateCodec.decode(message.getResolved().getPosition()));
            }
            case REFUSED -> decode(message.getRefused());
            case KIND_NOT_SET -> throw MalformedException.missing("answer");
        };
    }

    private static EndpointAnswer decode(ResultAnswer message) throws MalformedException {
        requirePresent(message.hasPosition(), "result.position");
        return new EndpointAnswer.Result(
                StateCodec.decodeRecords(message.getRecordsList()),
                StateCodec.decode(message.getPosition()),
                message.getDuplicate(),
                requireNonNegative(message.getQueuedMicros(), "result.queued_micros"),
                requireNonNegative(message.getQueued(), "result.queued"));
    }

    private static EndpointAnswer decode(RefusedAnswer message) throws MalformedException {
        return new EndpointAnswer.Refused(
                decode(message.getKind()),
                message.getMessage(),
                requireNonNegative(message.getTerm(), "refused.term"),
                requireNonNegative(message.getCancelledAttempt(), "refused.cancelled_attempt"));
    }

    private static RefusalKindMessage encode(RefusalKind kind) {
        return switch (kind) {
            case NOT_PRIMARY -> RefusalKindMessage.REFUSAL_KIND_NOT_PRIMARY;
            case FENCED -> RefusalKindMessage.REFUSAL_KIND_FENCED;
            case BUSY -> RefusalKindMessage.REFUSAL_KIND_BUSY;
            case CONFLICT -> RefusalKindMessage.REFUSAL_KIND_CONFLICT;
            case LEAVING -> RefusalKindMessage.REFUSAL_KIND_LEAVING;
            case CONNECTION_LIMIT -> RefusalKindMessage.REFUSAL_KIND_CONNECTION_LIMIT;
            case CANCELLED -> RefusalKindMessage.REFUSAL_KIND_CANCELLED;
            case UNKNOWN_TRANSACTION -> RefusalKindMessage.REFUSAL_KIND_UNKNOWN_TRANSACTION;
            case BAD_REQUEST -> RefusalKindMessage.REFUSAL_KIND_BAD_REQUEST;
        };
    }

    private static RefusalKind decode(RefusalKindMessage kind) throws MalformedException {
        return switch (kind) {
            case REFUSAL_KIND_NOT_PRIMARY -> RefusalKind.NOT_PRIMARY;
            case REFUSAL_KIND_FENCED -> RefusalKind.FENCED;
            case REFUSAL_KIND_BUSY -> RefusalKind.BUSY;
            case REFUSAL_KIND_CONFLICT -> RefusalKind.CONFLICT;
            case REFUSAL_KIND_LEAVING -> RefusalKind.LEAVING;
            case REFUSAL_KIND_CONNECTION_LIMIT -> RefusalKind.CONNECTION_LIMIT;
            case REFUSAL_KIND_CANCELLED -> RefusalKind.CANCELLED;
            case REFUSAL_KIND_UNKNOWN_TRANSACTION -> RefusalKind.UNKNOWN_TRANSACTION;
            case REFUSAL_KIND_BAD_REQUEST -> RefusalKind.BAD_REQUEST;
            case REFUSAL_KIND_UNSPECIFIED, UNRECOGNIZED ->
                    throw MalformedException.missing("refused.kind");
        };
    }
}
