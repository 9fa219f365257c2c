package org.ragwortmoor.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.history.HistoryFile;
import org.ragwortmoor.history.Outcome;
import org.ragwortmoor.history.RequestKind;

class LoadResultTest {
    private static final long MILLI = 1_000_000;

    private static Sample sample(
            RequestKind kind, long scheduled, long sent, long answered, Outcome out) {
        return new Sample(
                scheduled * MILLI,
                sent * MILLI,
                answered * MILLI,
                kind,
                "g",
                "short",
                0,
                out,
                out == Outcome.DONE ? "" : "OVERLOADED",
                kind == RequestKind.READ,
                out);
    }

    private static final List<Sample> SAMPLES =
            List.of(
                    sample(RequestKind.WRITE, 0, 0, 10, Outcome.DONE),
                    sample(RequestKind.WRITE, 100, 1_000, 1_010, Outcome.DONE),
                    sample(RequestKind.READ, 1_500, 1_500, 1_502, Outcome.DONE),
                    sample(RequestKind.WRITE, 1_500, 1_500, 1_600, Outcome.NOT_RUN),
                    sample(RequestKind.WRITE, 1_500, 1_500, 2_100, Outcome.NOT_RUN),
                    sample(RequestKind.WRITE, 1_500, 1_500, 2_200, Outcome.UNKNOWN));

    /** Guards against coordinated omission: a request that was sent late counts its whole wait. */
    @Test
    void figuresCountFromTheScheduledTime() {
        LoadResult result = LoadResult.of(SAMPLES, 500);
        assertThat(result.latency().get("write-short").max()).isBetween(909.0, 911.0);
        assertThat(result.done()).isEqualTo(3);
        assertThat(result.doneInTime()).isEqualTo(2);
        assertThat(result.lateRefusals()).isEqualTo(1);
        assertThat(result.unknown()).isEqualTo(1);
        assertThat(result.replicaReads()).isEqualTo(1);
        assertThat(result.errors()).containsEntry("OVERLOADED", 3);
        assertThat(result.longestWriteGapMillis()).isEqualTo(1_000);
    }

    @Test
    void goodputCountsAnswersWithinTheCrest() {
        assertThat(CrestMeasure.goodput(SAMPLES)).isEqualTo(0.5);
    }

    /** Guards against result files that are missing or cannot be read back. */
    @Test
    void allFilesAreWritten(@TempDir Path folder) throws IOException {
        LoadResult result = LoadResult.of(SAMPLES, 500);
        LoadSettings settings = LoadSettings.parse("--deployment=carritos");
        ResultFiles.write(
                folder,
                settings,
                new LoadRunner.Run(SAMPLES, List.of(), List.of("900 KILL of x")),
                result,
                3.5);
        JsonNode json = new ObjectMapper().readTree(folder.resolve("result.json").toFile());
        assertThat(json.path("done").asInt()).isEqualTo(3);
        assertThat(json.path("loadAverage").asDouble()).isEqualTo(3.5);
        assertThat(json.path("faults").path(0).asText()).isEqualTo("900 KILL of x");
        assertThat(Files.readAllLines(folder.resolve("seconds.csv")))
                .hasSize(3)
                .contains("1,4,1,2,1,2.000,2.000");
        assertThat(HistoryFile.read(folder.resolve(ResultFiles.HISTORY)).get()).isEmpty();
        assertThat(folder.resolve("plot.png")).isNotEmptyFile();
    }
}
