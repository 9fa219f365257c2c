package org.ragwortmoor.standin;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.JournalPromise;
import org.ragwortmoor.protocol.wire.JournalRecord;

/**
 * A journal in one append-only file of delimited protobuf messages.
 *
 * <p>Each record is handed to the operating system before it takes effect, so it survives the end
 * of the process. It is not synced: the stand-in simulates killed processes, not lost machines.
 */
final class FileJournal implements Journal {
    private static final String FILE = "endpoint.journal";

    private final FileChannel file;
    private final Recovered recovered;
    private final long incarnation;

    private FileJournal(FileChannel file, Recovered recovered, long incarnation) {
        this.file = file;
        this.recovered = recovered;
        this.incarnation = incarnation;
    }

    /**
     * Opens the journal in a folder, which is created if necessary. An incomplete last record is
     * removed: a process that was killed while writing it has not answered anyone.
     *
     * @throws IOException if the folder cannot be used or the journal is damaged
     */
    static FileJournal open(Path folder, RandomGenerator random) throws IOException {
        Files.createDirectories(folder);
        Path path = folder.resolve(FILE);
        byte[] bytes = Files.exists(path) ? Files.readAllBytes(path) : new byte[0];
        Replay replay = new Replay(path);
        int end = replay.run(bytes);
        FileChannel file =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        file.truncate(end);
        file.position(end);
        boolean created = replay.incarnation == 0;
        long incarnation = created ? nonZero(random) : replay.incarnation;
        FileJournal journal = new FileJournal(file, replay.recovered(), incarnation);
        if (created) {
            journal.write(JournalRecord.newBuilder().setIncarnation(incarnation).build());
        }
        return journal;
    }

    /** Returns a random incarnation; 0 stands for none. */
    static long nonZero(RandomGenerator random) {
        return random.nextLong(1, Long.MAX_VALUE);
    }

    Recovered recovered() {
        return recovered;
    }

    long incarnation() {
        return incarnation;
    }

    @Override
    public void promised(Promise promise) {
        write(
                JournalRecord.newBuilder()
                        .setPromise(
                                JournalPromise.newBuilder()
                                        .setTerm(promise.term())
                                        .setPrimary(promise.primary())
                                        .setFollowed(promise.followed()))
                        .build());
    }

    @Override
    public void appended(LogEntry entry) {
        write(JournalRecord.newBuilder().setEntry(EntryCodec.encode(entry)).build());
    }

    @Override
    public void truncated(long lastIndex) {
        write(JournalRecord.newBuilder().setTruncatedTo(lastIndex).build());
    }

    private void write(JournalRecord record) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            record.writeDelimitedTo(bytes);
            ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray());
            while (buffer.hasRemaining()) {
                file.write(buffer);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the journal; free disk space", e);
        }
    }

    @Override
    public void close() {
        try {
            file.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Rebuilds the state from the records of a journal. */
    private static final class Replay {
        private final Path path;
        private final List<LogEntry> entries = new ArrayList<>();
        private Promise promise = Promise.NONE;
        private long discarded;
        private long incarnation;

        Replay(Path path) {
            this.path = path;
        }

        /** Applies all complete records and returns the offset behind the last one. */
        int run(byte[] bytes) throws IOException {
            CodedInputStream input = CodedInputStream.newInstance(bytes);
            int end = 0;
            while (!input.isAtEnd()) {
                int size;
                try {
                    size = input.readRawVarint32();
                } catch (InvalidProtocolBufferException e) {
                    return end;
                }
                int start = input.getTotalBytesRead();
                if (size < 0) {
                    throw damaged(end, "negative length");
                }
                if (size > bytes.length - start) {
                    return end;
                }
                try {
                    apply(JournalRecord.parseFrom(input.readRawBytes(size)), end);
                } catch (InvalidProtocolBufferException e) {
                    throw damaged(end, e.getMessage());
                }
                end = start + size;
            }
            return end;
        }

        private void apply(JournalRecord record, int offset) throws IOException {
            switch (record.getKindCase()) {
                case INCARNATION -> incarnation = record.getIncarnation();
                case PROMISE ->
                        promise =
                                new Promise(
                                        record.getPromise().getTerm(),
                                        record.getPromise().getPrimary(),
                                        record.getPromise().getFollowed());
                case ENTRY -> {
                    Either<ProtocolError, LogEntry> entry = EntryCodec.decode(record.getEntry());
                    if (entry.isLeft() || entry.get().position().index() != entries.size() + 1L) {
                        throw damaged(offset, "invalid or misplaced log entry");
                    }
                    entries.add(entry.get());
                }
                case TRUNCATED_TO -> {
                    long last = record.getTruncatedTo();
                    if (last < 0 || last > entries.size()) {
                        throw damaged(offset, "truncation behind the end of the log");
                    }
                    discarded += entries.size() - last;
                    entries.subList((int) last, entries.size()).clear();
                }
                case KIND_NOT_SET -> throw damaged(offset, "unknown record");
            }
        }

        private IOException damaged(int offset, String reason) {
            return new IOException(
                    path
                            + " is damaged at offset "
                            + offset
                            + " ("
                            + reason
                            + "); remove it to start as a new incarnation");
        }

        /**
         * Returns the state. A promotion that was cut short before its term-start entry is undone,
         * so that the endpoint can be promoted again.
         */
        Recovered recovered() {
            long lastTerm =
                    entries.isEmpty() ? 0 : entries.get(entries.size() - 1).position().term();
            Promise kept =
                    promise.primary() && lastTerm != promise.term()
                            ? new Promise(promise.term(), false, "")
                            : promise;
            return new Recovered(kept, entries, discarded);
        }
    }
}
