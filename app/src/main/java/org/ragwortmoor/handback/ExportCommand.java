package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.cli.Command;
import org.ragwortmoor.cli.Console;
import org.ragwortmoor.cli.ExitCode;
import org.ragwortmoor.settings.Address;

/** Exports a departing partner's records into a folder, or continues such an export. */
public final class ExportCommand implements Command {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(15);

    /** The largest limit that a scan accepts. */
    private static final int MAX_PAGE = 1_000;

    @Option(name = "--partner", metaVar = "NAME", required = true, usage = "partner of the rules")
    private String partner;

    @Option(
            name = "--folder",
            metaVar = "FOLDER",
            required = true,
            usage = "folder of the export; empty, or of an export to continue")
    private Path folder;

    @Option(
            name = "--addresses",
            metaVar = "IP:PORT,...",
            required = true,
            usage = "HTTP addresses of proxies, tried in turn")
    private String addresses;

    @Option(
            name = "--control-addresses",
            metaVar = "IP:PORT,...",
            required = true,
            usage = "HTTP addresses of control processes, tried in turn")
    private String controlAddresses;

    @Option(
            name = "--principal",
            metaVar = "NAME",
            usage = "principal of the sessions that read; an allow line must admit it")
    private String principal = "hand-back-export";

    @Option(name = "--page", metaVar = "N", usage = "records per page, 1 to 1000")
    private int pageRecords = 200;

    @Option(
            name = "--allow-concurrent-writes",
            usage = "export although sessions may write the records; the manifest marks each page")
    private boolean concurrentWrites;

    @Option(
            name = "--rules-limit",
            metaVar = "S",
            usage = "longest wait for the rules to be in force, in seconds")
    private long rulesLimitSeconds = 30;

    @Option(name = "--limit", metaVar = "S", usage = "longest duration of the run, in seconds")
    private long limitSeconds = 3_600;

    @Option(name = "--json", usage = "print the manifest as one line of JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        Either<String, List<Address>> proxies = parse("--addresses", addresses);
        Either<String, List<Address>> controls = parse("--control-addresses", controlAddresses);
        List<String> problems = new ArrayList<>();
        proxies.peekLeft(problems::add);
        controls.peekLeft(problems::add);
        if (pageRecords < 1 || pageRecords > MAX_PAGE) {
            problems.add("--page is " + pageRecords + "; give 1 to " + MAX_PAGE);
        }
        if (rulesLimitSeconds < 1 || limitSeconds < 1) {
            problems.add("--rules-limit and --limit are at least 1 second");
        }
        if (!problems.isEmpty()) {
            problems.forEach(console.err()::println);
            return ExitCode.USAGE;
        }
        Export.Plan plan =
                new Export.Plan(
                        partner,
                        folder.toAbsolutePath(),
                        principal,
                        pageRecords,
                        concurrentWrites,
                        Duration.ofSeconds(rulesLimitSeconds),
                        Duration.ofSeconds(limitSeconds));
        return run(
                new Export(
                        plan,
                        new ApiClient(proxies.get(), ANSWER_TIMEOUT),
                        new ApiClient(controls.get(), ANSWER_TIMEOUT),
                        () -> {}),
                console);
    }

    private ExitCode run(Export export, Console console) {
        try {
            JsonNode manifest = export.run();
            if (json) {
                console.printJson(manifest);
            } else {
                console.printText(manifest);
            }
            return ExitCode.OK;
        } catch (HandBackException e) {
            console.err().println(e.getMessage());
            return e.exitCode();
        } catch (IOException e) {
            console.err()
                    .println(
                            "a file of the export cannot be used: "
                                    + e
                                    + "; check the folder and its disk, then run the command"
                                    + " again");
            return ExitCode.ENVIRONMENT;
        }
    }

    private static Either<String, List<Address>> parse(String option, String text) {
        List<Address> parsed = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            Either<String, Address> address = Address.parse(part.strip());
            if (address.isLeft()) {
                return Either.left(address.getLeft() + "; write " + option + " IP:PORT,IP:PORT");
            }
            parsed.add(address.get());
        }
        return Either.right(parsed);
    }
}
