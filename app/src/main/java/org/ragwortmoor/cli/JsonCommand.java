package org.ragwortmoor.cli;

import org.kohsuke.args4j.Option;

/** A command that can print its result as JSON. */
abstract class JsonCommand implements Command {
    @Option(name = "--json", usage = "print the result as one line of JSON")
    private boolean json;

    /** Returns whether the result is to be printed as JSON. */
    boolean json() {
        return json;
    }
}
