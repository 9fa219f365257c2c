package org.ragwortmoor.cli;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * One run of a subcommand. Options and arguments are fields with the annotations of args4j, unless
 * the command overrides {@link #accept}.
 */
public interface Command {
    /** Width of help texts, in characters. */
    int HELP_WIDTH = 100;

    /** Carries out the command and prints its result. */
    ExitCode run(Console console);

    /**
     * Takes the arguments behind the command's name.
     *
     * @throws CmdLineException if they are wrong
     */
    default void accept(List<String> arguments) throws CmdLineException {
        parser().parseArgument(arguments);
    }

    /** Prints the options and arguments. */
    default void printHelp(PrintStream out) {
        parser().printUsage(out);
    }

    private CmdLineParser parser() {
        return new CmdLineParser(
                this,
                ParserProperties.defaults().withUsageWidth(HELP_WIDTH).withShowDefaults(true));
    }
}
