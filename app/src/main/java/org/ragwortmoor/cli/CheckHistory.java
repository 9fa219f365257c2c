package org.ragwortmoor.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.ragwortmoor.history.HistoryChecker;
import org.ragwortmoor.history.HistoryFile;
import org.ragwortmoor.history.HistoryRecord;
import org.ragwortmoor.history.Violation;

/** Checks a history file. */
final class CheckHistory implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "history file of a load")
    private Path file;

    @Override
    public ExitCode run(Console console) {
        Either<String, List<HistoryRecord>> records;
        try {
            records = HistoryFile.read(file);
        } catch (IOException e) {
            console.err().println("cannot read " + file + " (" + e + "); name a readable file");
            return ExitCode.ENVIRONMENT;
        }
        if (records.isLeft()) {
            console.err().println(records.getLeft());
            return ExitCode.USAGE;
        }
        List<Violation> violations = HistoryChecker.check(records.get());
        violations.forEach(v -> console.out().println(v.message()));
        console.out()
                .println(records.get().size() + " records, " + violations.size() + " violations");
        return violations.isEmpty() ? ExitCode.OK : ExitCode.REFUSED;
    }
}
