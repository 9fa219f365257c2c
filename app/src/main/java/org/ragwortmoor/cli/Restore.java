package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.backup.ControlBackup;
import org.ragwortmoor.backup.RestoredFolders;
import org.ragwortmoor.settings.NodeAddress;
import org.ragwortmoor.settings.ValueTypes;

/** Writes the data folders of a new control group that starts from a backup. */
final class Restore extends JsonCommand {
    @Argument(metaVar = "FILE", required = true, usage = "file of the command backup")
    private Path file;

    @Option(
            name = "--members",
            metaVar = "ID@IP:PORT,...",
            required = true,
            usage = "members of the new group, as in the setting members of control")
    private String members;

    @Option(
            name = "--output",
            metaVar = "FOLDER",
            required = true,
            usage = "absent or empty folder; gets one data folder per member, named after it")
    private Path output;

    @Override
    public ExitCode run(Console console) {
        Either<String, List<NodeAddress>> parsed = ValueTypes.NODES.parse(members);
        if (parsed.isLeft()) {
            console.err().println(parsed.getLeft() + "; write --members ID@IP:PORT,ID@IP:PORT");
            return ExitCode.USAGE;
        }
        try {
            Either<String, ControlBackup> backup = ControlBackup.decode(Files.readAllBytes(file));
            if (backup.isLeft()) {
                return refuse(file + ": " + backup.getLeft(), console);
            }
            Either<String, List<Path>> folders =
                    new RestoredFolders(backup.get(), parsed.get(), new SecureRandom()::nextLong)
                            .write(output, System.currentTimeMillis());
            if (folders.isLeft()) {
                return refuse(folders.getLeft(), console);
            }
            print(backup.get(), folders.get(), console);
            return ExitCode.OK;
        } catch (IOException | UnsupportedOperationException e) {
            return refuse(
                    "a file cannot be used (" + e + "); check the backup and the folder", console);
        }
    }

    private static ExitCode refuse(String message, Console console) {
        console.err().println(message);
        console.err().println("nothing was changed");
        return ExitCode.ENVIRONMENT;
    }

    private void print(ControlBackup backup, List<Path> folders, Console console) {
        ObjectNode result =
                Console.object()
                        .put("node", backup.node())
                        .put("createdMillis", backup.createdMillis())
                        .put("rulesVersion", backup.state().rules().version());
        folders.forEach(f -> result.withArray("folders").add(f.toString()));
        if (json()) {
            console.printJson(result);
        } else {
            console.printText(result);
        }
        console.err()
                .println(
                        "scoped records are held back until you apply the rules; see the version"
                                + " to expect with: ragwortmoor rules show");
    }
}
