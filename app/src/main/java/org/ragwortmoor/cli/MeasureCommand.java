package org.ragwortmoor.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.load.Deployment;
import org.ragwortmoor.load.Measure;
import org.ragwortmoor.load.MeasureRun;

/** Takes one of the measures of the design page on an embedded deployment. */
final class MeasureCommand implements Command {
    @Argument(
            metaVar = "NAME",
            required = true,
            usage = "replica-share, write-gap, crest or short-wait")
    private String name;

    @Option(name = "--deployment", usage = "deployment to embed")
    private Deployment deployment = Deployment.CARRITOS;

    @Option(name = "--pairs", metaVar = "N", usage = "pairs of product and baseline, 1 to 100")
    private int pairs = 5;

    @Option(name = "--proxies", metaVar = "N", usage = "proxies of the deployment, 1 to 100")
    private int proxies = 7;

    @Option(name = "--progress", usage = "print the progress of each load")
    private boolean progress;

    @Override
    public ExitCode run(Console console) {
        List<String> names = Measure.ALL.stream().map(Measure::name).toList();
        Optional<Measure> measure =
                Measure.ALL.stream().filter(m -> m.name().equals(name)).findFirst();
        if (measure.isEmpty() || deployment == Deployment.NONE) {
            console.err()
                    .println(
                            "measure is one of "
                                    + String.join(", ", names)
                                    + "; --deployment is carritos or speelrooster");
            return ExitCode.USAGE;
        }
        if (pairs < 1 || pairs > 100 || proxies < 1 || proxies > 100) {
            console.err().println("--pairs and --proxies are 1 to 100");
            return ExitCode.USAGE;
        }
        PrintStream lines =
                progress
                        ? console.err()
                        : new PrintStream(
                                OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        try {
            boolean met =
                    measure.get()
                            .run(new MeasureRun(deployment, pairs, proxies, console.out(), lines));
            return met ? ExitCode.OK : ExitCode.REFUSED;
        } catch (IOException e) {
            console.err().println("the deployment did not start (" + e.getMessage() + ")");
            return ExitCode.ENVIRONMENT;
        }
    }
}
