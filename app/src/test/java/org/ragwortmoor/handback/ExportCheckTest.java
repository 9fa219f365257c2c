package org.ragwortmoor.handback;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.cli.Console;
import org.ragwortmoor.cli.ExitCode;

/** Guards against damaged exports that pass the check. */
class ExportCheckTest {
    private static final String FIRST = "{\"key\":\"c/1\",\"value\":\"é\"}\n";
    private static final String SECOND = "{\"key\":\"c/2\",\"value\":\"y\"}\n";

    @TempDir Path folder;

    @Test
    void undamagedExportHasNoProblem() throws Exception {
        write(FIRST + SECOND);
        assertThat(ExportCheck.problems(folder)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "missing, r.jsonl is missing",
        "additional, x.jsonl is additional",
        "truncated, r.jsonl is truncated",
        "extended, r.jsonl is too long",
        "changed, r.jsonl was changed",
        "unsorted, unsorted key",
        "duplicate, duplicate key",
        "outside, outside the prefix",
        "malformed, no record",
        "count, has 1 records",
        "manifest, manifest.json was changed",
        "escaping, not in the folder",
        "incomplete, manifest.json is missing"
    })
    void damageIsReported(String damage, String problem) throws Exception {
        damage(damage);
        assertThat(ExportCheck.problems(folder)).anySatisfy(p -> assertThat(p).contains(problem));
    }

    @Test
    void allProblemsAreReportedInOneRun() throws Exception {
        damage("additional");
        Files.writeString(folder.resolve("r.jsonl"), SECOND + FIRST + FIRST);
        assertThat(String.join("\n", ExportCheck.problems(folder)))
                .contains("additional", "too long", "was changed", "unsorted", "duplicate");
    }

    @Test
    void commandEndsWithOneAndListsTheProblems() throws Exception {
        damage("missing");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        VerifyCommand command = new VerifyCommand();
        command.accept(List.of("--folder", folder.toString(), "--json"));
        assertThat(command.run(new Console(print, print, Map.of()))).isEqualTo(ExitCode.REFUSED);
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("\"undamaged\":false", "r.jsonl is missing");
    }

    private void damage(String damage) throws IOException {
        write(FIRST + SECOND);
        Path file = folder.resolve("r.jsonl");
        Path manifest = folder.resolve(Manifest.FILE);
        switch (damage) {
            case "missing" -> Files.delete(file);
            case "additional" -> Files.writeString(folder.resolve("x.jsonl"), FIRST);
            case "truncated" -> Files.writeString(file, FIRST);
            case "extended" -> Files.writeString(file, FIRST + SECOND + SECOND);
            case "changed" -> Files.writeString(file, FIRST + SECOND.replace("y", "z"));
            case "unsorted" -> write(SECOND + FIRST);
            case "duplicate" -> write(FIRST + FIRST);
            case "outside" -> write(FIRST + SECOND.replace("c/2", "d/2"));
            case "malformed" -> write(FIRST + "{\"key\":\"c/2\"}\n");
            case "count" -> write(FIRST);
            case "manifest" ->
                    Files.writeString(
                            manifest, Files.readString(manifest).replace("Court", "Nobody"));
            case "escaping" ->
                    Files.writeString(
                            manifest, Files.readString(manifest).replace("r.jsonl", "../r.jsonl"));
            case "incomplete" -> Files.delete(manifest);
            default -> throw new IllegalArgumentException(damage);
        }
    }

    /** Writes an export whose manifest states the content's length and digest, and 2 records. */
    private void write(String content) throws IOException {
        Path file = folder.resolve("r.jsonl");
        Files.writeString(file, content);
        PrefixState prefix =
                new PrefixState(
                        "r.jsonl",
                        2,
                        "Court",
                        "g",
                        "c/",
                        "1:5",
                        "",
                        Files.size(file),
                        2,
                        List.of(),
                        "1:6",
                        true,
                        ExportFiles.sha256(file),
                        ExportFiles.sha256(file),
                        "",
                        Files.size(file));
        ObjectNode manifest =
                Manifest.of(
                        new ExportState("C", 1, "2026-01-01T00:00:00Z", false, List.of(prefix)));
        ExportFiles.replace(
                folder.resolve(Manifest.FILE), ExportFiles.JSON.writeValueAsBytes(manifest));
    }
}
