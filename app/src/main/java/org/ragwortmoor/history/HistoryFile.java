package org.ragwortmoor.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Files of histories: one JSON object per line, UTF-8. */
public final class HistoryFile {
    private static final ObjectMapper JSON = new ObjectMapper();

    private HistoryFile() {}

    /**
     * Writes a history, replacing an earlier file.
     *
     * @throws IOException if the file cannot be written
     */
    public static void write(Path file, List<HistoryRecord> records) throws IOException {
        try (Writer writer = Files.newBufferedWriter(file)) {
            for (HistoryRecord record : records) {
                writer.write(line(record));
                writer.write('\n');
            }
        }
    }

    /**
     * Reads a history; returns the records or the number and the error of the first wrong line.
     *
     * @throws IOException if the file cannot be read
     */
    public static Either<String, List<HistoryRecord>> read(Path file) throws IOException {
        List<HistoryRecord> records = new ArrayList<>();
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            String line = reader.readLine();
            for (int number = 1; line != null; number++) {
                try {
                    HistoryRecord record = JSON.readValue(line, HistoryRecord.class);
                    if (record == null || record.request() == null || record.answer() == null) {
                        return Either.left(file + ":" + number + ": request or answer is missing");
                    }
                    records.add(record);
                } catch (JsonProcessingException e) {
                    return Either.left(file + ":" + number + ": " + e.getOriginalMessage());
                }
                line = reader.readLine();
            }
        }
        return Either.right(List.copyOf(records));
    }

    /** Returns a record as its line in the file. */
    static String line(HistoryRecord record) {
        try {
            return JSON.writeValueAsString(record);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
