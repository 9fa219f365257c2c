package org.ragwortmoor.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.ragwortmoor.history.HistoryChecker;
import org.ragwortmoor.history.Violation;
import org.ragwortmoor.load.Deployment;
import org.ragwortmoor.load.LoadResult;
import org.ragwortmoor.load.LoadRunner;
import org.ragwortmoor.load.LoadSettings;
import org.ragwortmoor.load.LoadTarget;
import org.ragwortmoor.load.LoadTargets;
import org.ragwortmoor.load.Machine;
import org.ragwortmoor.load.ResultFiles;

/** Sends a workload, writes the result files and checks the history. */
final class LoadCommand extends SettingsCommand<LoadSettings> {
    LoadCommand() {
        super(LoadSettings.ROLE);
    }

    @Override
    protected ExitCode run(LoadSettings settings, Console console) {
        Path output = settings.output();
        try (LoadTarget target = LoadTargets.start(settings.target())) {
            LoadRunner.Run run =
                    LoadRunner.run(settings.workload(), settings.faults(), target, console.err());
            LoadResult result = LoadResult.of(run.samples(), settings.workload().deadlineMillis());
            double loadAverage = Machine.loadAverage();
            ResultFiles.write(output, settings, run, result, loadAverage);
            print(settings, run, result, loadAverage, console);
            List<Violation> violations = HistoryChecker.check(run.history());
            violations.forEach(v -> console.out().println(v.message()));
            console.out()
                    .println(
                            violations.size()
                                    + " violations; history in "
                                    + output.resolve(ResultFiles.HISTORY));
            return violations.isEmpty() ? ExitCode.OK : ExitCode.REFUSED;
        } catch (IOException e) {
            console.err().println("load: " + e + "; check the output folder and the ports");
            return ExitCode.ENVIRONMENT;
        }
    }

    private static void print(
            LoadSettings settings,
            LoadRunner.Run run,
            LoadResult result,
            double loadAverage,
            Console console) {
        console.out()
                .printf(
                        Locale.ROOT,
                        "%d scheduled, %d done (%d in time), %d not run (%d late), %d unknown%n",
                        result.scheduled(),
                        result.done(),
                        result.doneInTime(),
                        result.notRun(),
                        result.lateRefusals(),
                        result.unknown());
        console.out()
                .printf(
                        Locale.ROOT,
                        "%d of %d reads served by replicas; longest write gap %.0f ms%n",
                        result.replicaReads(),
                        result.reads(),
                        result.longestWriteGapMillis());
        result.latency()
                .forEach(
                        (name, latency) ->
                                console.out()
                                        .printf(
                                                Locale.ROOT,
                                                "%s: %d, p50 %.1f ms, p99 %.1f ms, max %.1f ms%n",
                                                name,
                                                latency.count(),
                                                latency.p50(),
                                                latency.p99(),
                                                latency.max()));
        console.out().println("errors: " + result.errors());
        run.faults().forEach(fault -> console.out().println("fault at ms " + fault));
        console.out()
                .printf(
                        Locale.ROOT,
                        "%s, load average %.1f on %d processors%n",
                        settings.target().deployment() == Deployment.NONE
                                ? "proxies elsewhere"
                                : settings.target().deployment().label(),
                        loadAverage,
                        Machine.processors());
    }
}
