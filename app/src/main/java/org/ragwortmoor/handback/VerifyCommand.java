package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.cli.Command;
import org.ragwortmoor.cli.Console;
import org.ragwortmoor.cli.ExitCode;

/** Checks an export against its manifest and reports all problems. */
public final class VerifyCommand implements Command {
    @Option(name = "--folder", metaVar = "FOLDER", required = true, usage = "folder of the export")
    private Path folder;

    @Option(name = "--json", usage = "print the result as one line of JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        List<String> problems;
        try {
            problems = ExportCheck.problems(folder);
        } catch (IOException e) {
            console.err().println("the export cannot be read: " + e + "; check the folder");
            return ExitCode.ENVIRONMENT;
        }
        if (json) {
            ObjectNode result = Console.object().put("undamaged", problems.isEmpty());
            problems.forEach(result.putArray("problems")::add);
            console.printJson(result);
        } else if (problems.isEmpty()) {
            console.out().println(folder + " agrees with its manifest");
        } else {
            problems.forEach(console.out()::println);
        }
        return problems.isEmpty() ? ExitCode.OK : ExitCode.REFUSED;
    }
}
