package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import org.ragwortmoor.cli.ExitCode;

/** Exports the records of one partner line by pages and confirms them by a second pass. */
final class PrefixExport {
    /** A write of unknown outcome can land late; more than a few such restarts are no accident. */
    private static final int MAX_PASSES = 5;

    private final ProxyReader reader;
    private final Path folder;
    private final Predicate<String> owned;
    private final int pageRecords;
    private final boolean concurrentWrites;
    private final Progress progress;

    /** Takes the state after every page, to make it durable. */
    interface Progress {
        void save(PrefixState state) throws IOException;
    }

    /**
     * Creates the export of one partner line.
     *
     * @param owned tells which keys belong to the line, and not to one with a longer prefix
     * @param concurrentWrites whether records may change meanwhile; pages are then marked with
     *     their positions, and a second pass that differs is recorded but no reason to start again
     */
    PrefixExport(
            ProxyReader reader,
            Path folder,
            Predicate<String> owned,
            int pageRecords,
            boolean concurrentWrites,
            Progress progress) {
        this.reader = reader;
        this.folder = folder;
        this.owned = owned;
        this.pageRecords = pageRecords;
        this.concurrentWrites = concurrentWrites;
        this.progress = progress;
    }

    /** Continues from {@code state} until the prefix is complete. */
    void run(PrefixState state) throws HandBackException, IOException {
        PrefixState current = begin(state);
        for (int pass = 1; pass <= MAX_PASSES; pass++) {
            try {
                current = current.checking() ? current : firstPass(current);
                boolean agreed = secondPass(current);
                boolean kept = digest(current).equals(current.firstSha256());
                if (kept && (agreed || concurrentWrites)) {
                    progress.save(current.completed(agreed));
                    return;
                }
            } catch (PositionLostException e) {
                // The pages may show writes that the failover discarded; none of them is kept.
            }
            current = restart(state);
        }
        throw new HandBackException(
                ExitCode.REFUSED,
                "the records of "
                        + state.group()
                        + " under \""
                        + state.prefix()
                        + "\" changed in each of "
                        + MAX_PASSES
                        + " passes, or positions were lost; look for failovers and for writes of"
                        + " unknown outcome, then run the command again");
    }

    /** Sessions do not outlive the command, but a new confirmed position contains the barrier. */
    private PrefixState begin(PrefixState state) throws HandBackException, IOException {
        if (state.barrier().isEmpty()) {
            return restart(state);
        }
        reader.confirmedPosition();
        return state;
    }

    private PrefixState restart(PrefixState state) throws HandBackException, IOException {
        PrefixState started = state.started(reader.confirmedPosition());
        ExportFiles.append(folder.resolve(state.file()), 0, new byte[0]);
        ExportFiles.syncFolder(folder);
        progress.save(started);
        return started;
    }

    private PrefixState pages(PrefixState state) throws HandBackException, IOException {
        PrefixState current = state;
        Path file = folder.resolve(state.file());
        while (true) {
            JsonNode page = reader.page(current.after(), pageRecords);
            if (!page.hasNonNull("scannedTo")) {
                return current;
            }
            Lines lines = lines(page, current.after());
            String scannedTo = page.path("scannedTo").asText();
            long bytes = ExportFiles.append(file, current.bytes(), lines.bytes());
            List<PrefixState.PageMark> marks =
                    concurrentWrites
                            ? List.of(
                                    new PrefixState.PageMark(
                                            scannedTo, page.path("position").asText()))
                            : List.of();
            current = current.withPage(scannedTo, bytes, current.count() + lines.count(), marks);
            progress.save(current);
        }
    }

    /** Ends with a confirmed position, which every page of the second pass contains. */
    private PrefixState firstPass(PrefixState state) throws HandBackException, IOException {
        PrefixState read = pages(state);
        // Drops what a crash left behind the last synced page.
        ExportFiles.append(folder.resolve(read.file()), read.bytes(), new byte[0]);
        PrefixState ended = read.ended(reader.confirmedPosition(), digest(read));
        progress.save(ended);
        return ended;
    }

    private String digest(PrefixState state) throws IOException {
        return ExportFiles.sha256(folder.resolve(state.file()));
    }

    /**
     * Compares page by page with the file, so that an interrupted pass continues at its page;
     * returns whether both passes found the same records. No progress is saved from a difference
     * on, so that a resumed pass finds it again.
     */
    private boolean secondPass(PrefixState state) throws HandBackException, IOException {
        Path file = folder.resolve(state.file());
        PrefixState current = state;
        String after = state.checkedAfter();
        boolean agreed = true;
        while (true) {
            JsonNode page = reader.page(after, pageRecords);
            if (!page.hasNonNull("scannedTo")) {
                return agreed && current.checkedBytes() == current.bytes();
            }
            byte[] found = lines(page, after).bytes();
            after = page.path("scannedTo").asText();
            agreed =
                    agreed
                            && Arrays.equals(
                                    found,
                                    ExportFiles.read(file, current.checkedBytes(), found.length));
            if (agreed) {
                current = current.checked(after, current.checkedBytes() + found.length);
                progress.save(current);
            }
        }
    }

    private Lines lines(JsonNode page, String after) throws HandBackException {
        StringBuilder text = new StringBuilder();
        long count = 0;
        String last = after;
        for (JsonNode found : page.path("records")) {
            String key = found.path("key").asText();
            if (key.compareTo(last) <= 0) {
                throw new HandBackException(
                        ExitCode.ENVIRONMENT,
                        "the scan returned \"" + key + "\" after \"" + last + "\"; report this");
            }
            last = key;
            if (owned.test(key)) {
                text.append(line(key, found.path("value").asText())).append('\n');
                count++;
            }
        }
        return new Lines(text.toString().getBytes(StandardCharsets.UTF_8), count);
    }

    private static ObjectNode line(String key, String value) {
        return ExportFiles.JSON.createObjectNode().put("key", key).put("value", value);
    }

    private record Lines(byte[] bytes, long count) {}
}
