package org.ragwortmoor.standin;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.CancellationEntry;
import org.ragwortmoor.protocol.wire.ChangeMessage;
import org.ragwortmoor.protocol.wire.DivergenceMessage;
import org.ragwortmoor.protocol.wire.EntriesMessage;
import org.ragwortmoor.protocol.wire.FetchedMessage;
import org.ragwortmoor.protocol.wire.LogEntryMessage;
import org.ragwortmoor.protocol.wire.RefusedAnswer;
import org.ragwortmoor.protocol.wire.TermStartEntry;
import org.ragwortmoor.protocol.wire.WriteEntry;
import org.ragwortmoor.state.endpoint.EndpointAnswer.Refused;
import org.ragwortmoor.state.endpoint.RefusalKind;

/** Conversions of log entries and answers to fetches. */
final class EntryCodec {
    private EntryCodec() {}

    static LogEntryMessage encode(LogEntry entry) {
        LogEntryMessage.Builder builder =
                LogEntryMessage.newBuilder().setPosition(EndpointCodec.encode(entry.position()));
        if (entry.content() instanceof LogEntry.Written written) {
            WriteEntry.Builder write =
                    WriteEntry.newBuilder()
                            .setIdentity(EndpointCodec.encode(written.identity()))
                            .addAllResults(EndpointCodec.encodeRecords(written.results()));
            for (Change change : written.changes()) {
                ChangeMessage.Builder message = ChangeMessage.newBuilder().setKey(change.key());
                change.value().forEach(message::setValue);
                write.addChanges(message);
            }
            builder.setWrite(write);
        } else if (entry.content() instanceof LogEntry.Cancelled cancelled) {
            builder.setCancellation(
                    CancellationEntry.newBuilder()
                            .setIdentity(EndpointCodec.encode(cancelled.identity())));
        } else {
            builder.setTermStart(TermStartEntry.getDefaultInstance());
        }
        return builder.build();
    }

    static Either<ProtocolError, LogEntry> decode(LogEntryMessage message) {
        return EndpointCodec.decodePosition(message.getPosition())
                .flatMap(
                        position ->
                                content(message).map(content -> new LogEntry(position, content)));
    }

    private static Either<ProtocolError, LogEntry.Content> content(LogEntryMessage message) {
        return switch (message.getKindCase()) {
            case TERM_START -> Either.right(new LogEntry.TermStarted());
            case WRITE -> written(message.getWrite());
            case CANCELLATION ->
                    EndpointCodec.decodeIdentity(message.getCancellation().getIdentity())
                            .map(LogEntry.Cancelled::new);
            case KIND_NOT_SET -> Either.left(missing("log entry"));
        };
    }

    private static Either<ProtocolError, LogEntry.Content> written(WriteEntry message) {
        List<Change> changes = new ArrayList<>(message.getChangesCount());
        for (ChangeMessage change : message.getChangesList()) {
            changes.add(
                    new Change(
                            change.getKey(),
                            change.hasValue() ? Option.some(change.getValue()) : Option.none()));
        }
        return EndpointCodec.decodeIdentity(message.getIdentity())
                .flatMap(
                        identity ->
                                EndpointCodec.decodeRecords(message.getResultsList())
                                        .map(
                                                results ->
                                                        new LogEntry.Written(
                                                                identity, changes, results)));
    }

    static FetchedMessage encode(FetchOutcome outcome) {
        FetchedMessage.Builder builder = FetchedMessage.newBuilder();
        if (outcome instanceof FetchOutcome.Entries fetched) {
            EntriesMessage.Builder entries =
                    EntriesMessage.newBuilder().setAfter(EndpointCodec.encode(fetched.after()));
            fetched.entries().forEach(entry -> entries.addEntries(encode(entry)));
            builder.setEntries(entries);
        } else if (outcome instanceof FetchOutcome.Divergence divergence) {
            builder.setDivergence(
                    DivergenceMessage.newBuilder()
                            .setLast(EndpointCodec.encode(divergence.last()))
                            .setShared(EndpointCodec.encode(divergence.shared())));
        } else if (outcome instanceof FetchOutcome.Rejected rejected) {
            builder.setRefused(
                    RefusedAnswer.newBuilder()
                            .setMessage(rejected.refusal().message())
                            .setTerm(rejected.refusal().term()));
        }
        return builder.build();
    }

    static Either<ProtocolError, FetchOutcome> decode(FetchedMessage message) {
        return switch (message.getOutcomeCase()) {
            case ENTRIES -> entries(message.getEntries());
            case DIVERGENCE ->
                    EndpointCodec.decodePosition(message.getDivergence().getLast())
                            .flatMap(
                                    last ->
                                            EndpointCodec.decodePosition(
                                                            message.getDivergence().getShared())
                                                    .map(
                                                            shared ->
                                                                    new FetchOutcome.Divergence(
                                                                            last, shared)));
            case REFUSED ->
                    Either.right(
                            new FetchOutcome.Rejected(
                                    new Refused(
                                            RefusalKind.NOT_PRIMARY,
                                            message.getRefused().getMessage(),
                                            message.getRefused().getTerm(),
                                            0)));
            case OUTCOME_NOT_SET -> Either.left(missing("answer to the fetch"));
        };
    }

    private static Either<ProtocolError, FetchOutcome> entries(EntriesMessage message) {
        List<LogEntry> entries = new ArrayList<>(message.getEntriesCount());
        for (LogEntryMessage entry : message.getEntriesList()) {
            Either<ProtocolError, LogEntry> decoded = decode(entry);
            if (decoded.isLeft()) {
                return Either.left(decoded.getLeft());
            }
            entries.add(decoded.get());
        }
        return EndpointCodec.decodePosition(message.getAfter())
                .map(after -> new FetchOutcome.Entries(after, entries));
    }

    private static ProtocolError missing(String what) {
        return new ProtocolError(ProtocolError.Kind.MISSING, what + " is missing or unknown");
    }
}
