package org.ragwortmoor.cli;

import java.util.function.Supplier;

/**
 * A subcommand in the registry.
 *
 * @param name one or two words
 * @param summary what it does, in one sentence
 * @param create returns a command for one run
 */
public record CommandEntry(String name, String summary, Supplier<Command> create) {}
