package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.daemon.EmbeddedDeployment;
import org.ragwortmoor.demo.Demo;
import org.ragwortmoor.demo.DemoResult;

/** Runs an embedded deployment and prints what it saw of each promise. */
final class DemoCommand implements Command {
    @Option(
            name = "--deployment",
            metaVar = "NAME",
            usage = "carritos (3 failure domains, 5 slots) or speelrooster (4, 2 slots)")
    private String name = "carritos";

    @Option(name = "--json", usage = "print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        if (!List.of("carritos", "speelrooster").contains(name)) {
            console.err().println("--deployment is carritos or speelrooster, not " + name);
            return ExitCode.USAGE;
        }
        EmbeddedDeployment.Shape shape =
                name.equals("carritos")
                        ? EmbeddedDeployment.Shape.carritos()
                        : EmbeddedDeployment.Shape.speelrooster();
        Path folder;
        try {
            folder = Files.createTempDirectory("ragwortmoor-demo");
        } catch (IOException e) {
            console.err().println("no temporary folder (" + e.getMessage() + ")");
            return ExitCode.ENVIRONMENT;
        }
        try (EmbeddedDeployment deployment = EmbeddedDeployment.start(shape, folder)) {
            return print(new Demo(deployment, shape.groups().get(0)).run(), console);
        } catch (IOException e) {
            console.err().println("the deployment did not start (" + e.getMessage() + ")");
            return ExitCode.ENVIRONMENT;
        } finally {
            delete(folder);
        }
    }

    private ExitCode print(List<DemoResult> results, Console console) {
        if (json) {
            ArrayNode array = Console.object().putArray("results");
            for (DemoResult result : results) {
                array.addObject()
                        .put("promise", result.promise())
                        .put("held", result.held())
                        .put("seen", result.seen());
            }
            console.printJson(array);
        } else {
            for (DemoResult result : results) {
                console.out().println((result.held() ? "held    " : "BROKEN  ") + result.promise());
                console.out().println("        " + result.seen());
            }
        }
        boolean all = results.stream().allMatch(DemoResult::held);
        return all ? ExitCode.OK : ExitCode.REFUSED;
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("cannot remove " + folder + "; remove it by hand", e);
        }
    }
}
