package org.ragwortmoor.cli;

/** Entry point of the {@code ragwortmoor} program. */
public final class Main {
    private Main() {}

    /** Runs the subcommand that the arguments name and exits with its code. */
    public static void main(String[] args) {
        System.err.println("ragwortmoor: no such command");
        System.exit(2);
    }
}
