package org.ragwortmoor.handback;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

/** Checks the lines of one file of records: form, key order, prefix and count. */
final class RecordFileCheck {
    private final Path file;
    private final String prefix;
    private final long count;

    RecordFileCheck(Path file, String prefix, long count) {
        this.file = file;
        this.prefix = prefix;
        this.count = count;
    }

    /** Reports every problem of the file. */
    void report(Consumer<String> problems) throws IOException {
        long lines = 0;
        String last = "";
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines++;
                String place = file.getFileName() + " line " + lines + ": ";
                String key = key(line);
                if (key.isEmpty()) {
                    problems.accept(place + "no record with key and value");
                    continue;
                }
                if (key.equals(last)) {
                    problems.accept(place + "duplicate key \"" + key + "\"");
                } else if (key.compareTo(last) < 0) {
                    problems.accept(place + "unsorted key \"" + key + "\" after \"" + last + "\"");
                }
                if (!key.startsWith(prefix)) {
                    problems.accept(
                            place + "key \"" + key + "\" is outside the prefix \"" + prefix + "\"");
                }
                last = key;
            }
        } catch (CharacterCodingException e) {
            problems.accept(file.getFileName() + " is not UTF-8 behind line " + lines);
            return;
        }
        if (lines != count) {
            problems.accept(file.getFileName() + " has " + lines + " records, not " + count);
        }
    }

    /** Returns the key of a record, or an empty text if the line is none. */
    private static String key(String line) {
        try {
            JsonNode found = ExportFiles.JSON.readTree(line);
            boolean complete =
                    found.path("key").isTextual()
                            && found.path("value").isTextual()
                            && found.size() == 2;
            return complete ? found.path("key").asText() : "";
        } catch (JsonProcessingException e) {
            return "";
        }
    }
}
