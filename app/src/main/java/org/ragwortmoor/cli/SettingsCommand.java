package org.ragwortmoor.cli;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import org.ragwortmoor.settings.Role;
import org.ragwortmoor.settings.SettingsProblem;
import org.ragwortmoor.settings.SettingsReader;
import org.ragwortmoor.settings.SettingsReference;

/** A command that runs a process with the settings of a role. */
public abstract class SettingsCommand<T> implements Command {
    private final Role<T> role;
    private List<String> arguments = List.of();

    /** Creates a command of {@code role}. */
    protected SettingsCommand(Role<T> role) {
        this.role = role;
    }

    /** Runs the process until it stops. */
    protected abstract ExitCode run(T settings, Console console);

    @Override
    public final void accept(List<String> given) {
        arguments = List.copyOf(given);
    }

    @Override
    public final void printHelp(PrintStream out) {
        out.println(SettingsReference.section(role));
    }

    @Override
    public final ExitCode run(Console console) {
        Either<List<SettingsProblem>, T> settings =
                new SettingsReader(console.environment()).read(role, arguments);
        if (settings.isRight()) {
            return run(settings.get(), console);
        }
        settings.getLeft().forEach(problem -> console.err().println(problem.text()));
        return ExitCode.USAGE;
    }
}
