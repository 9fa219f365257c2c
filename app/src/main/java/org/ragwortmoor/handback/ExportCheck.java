package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Checks an export against its manifest. */
final class ExportCheck {
    private final Path folder;
    private final List<String> problems = new ArrayList<>();

    private ExportCheck(Path folder) {
        this.folder = folder;
    }

    /**
     * Returns all problems of the export in {@code folder}; none if it is undamaged.
     *
     * @throws IOException if a file or the folder cannot be read
     */
    static List<String> problems(Path folder) throws IOException {
        ExportCheck check = new ExportCheck(folder);
        check.run();
        return List.copyOf(check.problems);
    }

    private void run() throws IOException {
        Path file = folder.resolve(Manifest.FILE);
        if (!Files.isRegularFile(file)) {
            problems.add(Manifest.FILE + " is missing; the export is not complete");
            return;
        }
        JsonNode manifest;
        try {
            manifest = ExportFiles.JSON.readTree(file.toFile());
        } catch (com.fasterxml.jackson.core.JacksonException e) {
            problems.add(Manifest.FILE + " is no JSON: " + e.getOriginalMessage());
            return;
        }
        if (manifest.path("format").asInt() != Manifest.FORMAT || !manifest.isObject()) {
            problems.add(
                    Manifest.FILE
                            + " has the format "
                            + manifest.path("format")
                            + "; this version reads format "
                            + Manifest.FORMAT);
            return;
        }
        if (!Manifest.digest(manifest).equals(manifest.path("sha256").asText())) {
            problems.add(Manifest.FILE + " was changed: its sha256 differs from its content");
        }
        Set<String> named = new HashSet<>(Set.of(Manifest.FILE));
        for (JsonNode entry : manifest.path("files")) {
            named.add(entry.path("file").asText());
            checkFile(entry);
        }
        checkAdditional(named);
    }

    private void checkFile(JsonNode entry) throws IOException {
        String name = entry.path("file").asText();
        Path file = folder.resolve(name).normalize();
        if (!folder.normalize().equals(file.getParent())) {
            problems.add(Manifest.FILE + " names \"" + name + "\", which is not in the folder");
            return;
        }
        if (!Files.isRegularFile(file)) {
            problems.add(name + " is missing");
            return;
        }
        long bytes = entry.path("bytes").asLong();
        if (Files.size(file) < bytes) {
            problems.add(name + " is truncated: " + Files.size(file) + " of " + bytes + " bytes");
        } else if (Files.size(file) > bytes) {
            problems.add(name + " is too long: " + Files.size(file) + " bytes, not " + bytes);
        }
        if (!ExportFiles.sha256(file).equals(entry.path("sha256").asText())) {
            problems.add(name + " was changed: its SHA-256 differs from the manifest");
        }
        new RecordFileCheck(file, entry.path("prefix").asText(), entry.path("count").asLong())
                .report(problems::add);
    }

    private void checkAdditional(Set<String> named) throws IOException {
        try (Stream<Path> present = Files.list(folder)) {
            present.map(p -> p.getFileName().toString())
                    .filter(n -> !named.contains(n))
                    .sorted()
                    .forEach(
                            n -> problems.add(n + " is additional: the manifest does not name it"));
        }
    }
}
