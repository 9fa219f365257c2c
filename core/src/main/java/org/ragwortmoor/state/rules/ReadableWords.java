package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/**
 * Rejects a line that cannot be split into words.
 *
 * <p>With unclosed quotes or invisible characters, a line could have another meaning than the one
 * that it displays to the person who approves it.
 */
final class ReadableWords implements LineCheck {
    @Override
    public Option<RuleProblem> check(LexedLine line) {
        return line.lexError()
                .map(
                        lexError ->
                                line.error(
                                        "ReadableWords",
                                        lexError.column(),
                                        lexError.message(),
                                        lexError.remedy()));
    }
}
