package org.ragwortmoor.cli;

import io.vavr.control.Option;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;

/** Entry point of the {@code ragwortmoor} program. */
public final class Main {
    private static final List<String> HELP = List.of("--help", "-h");

    private final List<CommandEntry> commands;

    /** Creates the program with the given subcommands. */
    Main(List<CommandEntry> commands) {
        this.commands = List.copyOf(commands);
    }

    /** Runs the subcommand that the arguments name and exits with its code. */
    public static void main(String[] args) {
        Console console = new Console(System.out, System.err, System.getenv());
        ExitCode code = new Main(Commands.ALL).run(Arrays.asList(args), console);
        System.out.flush();
        System.exit(code.code());
    }

    /** Runs the subcommand that the arguments name. */
    ExitCode run(List<String> args, Console console) {
        Option<CommandEntry> entry = entry(args);
        if (entry.isDefined()) {
            return run(entry.get(), args, console);
        }
        if (!args.isEmpty() && HELP.contains(args.get(0))) {
            printCommands(console.out());
            return ExitCode.OK;
        }
        String given = args.isEmpty() ? "no command is given" : "no such command: " + args.get(0);
        console.err().println("ragwortmoor: " + given + "; use one of:");
        printCommands(console.err());
        return ExitCode.USAGE;
    }

    private static ExitCode run(CommandEntry entry, List<String> args, Console console) {
        List<String> rest = args.subList(entry.name().split(" ").length, args.size());
        Command command = entry.create().get();
        if (rest.stream().anyMatch(HELP::contains)) {
            console.out().println("ragwortmoor " + entry.name() + " - " + entry.summary());
            command.printHelp(console.out());
            return ExitCode.OK;
        }
        try {
            command.accept(rest);
        } catch (CmdLineException e) {
            console.err().println("ragwortmoor " + entry.name() + ": " + e.getMessage());
            console.err().println("see: ragwortmoor " + entry.name() + " --help");
            return ExitCode.USAGE;
        }
        try {
            return command.run(console);
        } catch (RuntimeException e) {
            // The virtual machine would end with 1, which claims that nothing was done.
            console.err().println("ragwortmoor " + entry.name() + ": internal error");
            e.printStackTrace(console.err());
            return ExitCode.UNKNOWN;
        }
    }

    /** A name of two words takes precedence over its first word. */
    private Option<CommandEntry> entry(List<String> args) {
        for (int words = Math.min(2, args.size()); words > 0; words--) {
            String name = String.join(" ", args.subList(0, words));
            for (CommandEntry entry : commands) {
                if (entry.name().equals(name)) {
                    return Option.of(entry);
                }
            }
        }
        return Option.none();
    }

    private void printCommands(PrintStream out) {
        for (CommandEntry entry : commands) {
            out.printf("  %-16s %s%n", entry.name(), entry.summary());
        }
        out.println("options of a command: ragwortmoor COMMAND --help");
    }
}
