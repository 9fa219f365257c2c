package org.ragwortmoor.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.ragwortmoor.history.HistoryFile;

/** The files of a run: {@code result.json}, {@code seconds.csv}, a plot and the history. */
public final class ResultFiles {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** Name of the history file within the folder. */
    public static final String HISTORY = "history.jsonl";

    private ResultFiles() {}

    /**
     * Writes all files of a run, replacing earlier ones.
     *
     * @param loadAverage load average of the machine at the end of the run
     * @throws IOException if a file cannot be written
     */
    public static void write(
            Path folder,
            LoadSettings settings,
            LoadRunner.Run run,
            LoadResult result,
            double loadAverage)
            throws IOException {
        Files.createDirectories(folder);
        ObjectNode json = JSON.valueToTree(result);
        json.put("settings", settings.toString());
        json.put("loadAverage", loadAverage);
        json.set("faults", JSON.valueToTree(run.faults()));
        JSON.writeValue(folder.resolve("result.json").toFile(), json);
        Files.writeString(folder.resolve("seconds.csv"), csv(result.seconds()));
        HistoryFile.write(folder.resolve(HISTORY), run.history());
        plot(folder, result.seconds());
    }

    static String csv(List<LoadResult.Second> seconds) {
        StringBuilder csv = new StringBuilder("second,scheduled,done,notRun,unknown,p50Ms,p99Ms\n");
        for (LoadResult.Second s : seconds) {
            csv.append(
                    String.format(
                            Locale.ROOT,
                            "%d,%d,%d,%d,%d,%.3f,%.3f%n",
                            s.second(),
                            s.scheduled(),
                            s.done(),
                            s.notRun(),
                            s.unknown(),
                            s.p50(),
                            s.p99()));
        }
        return csv.toString();
    }

    private static void plot(Path folder, List<LoadResult.Second> seconds) throws IOException {
        if (seconds.isEmpty()) {
            return;
        }
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(500)
                        .title("Requests and latency by scheduled second")
                        .xAxisTitle("s")
                        .yAxisTitle("requests/s, ms")
                        .build();
        double[] at = seconds.stream().mapToDouble(LoadResult.Second::second).toArray();
        add(chart, "scheduled/s", at, seconds.stream().mapToDouble(s -> s.scheduled()).toArray());
        add(chart, "done/s", at, seconds.stream().mapToDouble(s -> s.done()).toArray());
        add(chart, "refused/s", at, seconds.stream().mapToDouble(s -> s.notRun()).toArray());
        add(chart, "p99 ms", at, seconds.stream().mapToDouble(s -> s.p99()).toArray());
        BitmapEncoder.saveBitmap(
                chart, folder.resolve("plot.png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static void add(XYChart chart, String name, double[] x, double[] y) {
        chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }
}
