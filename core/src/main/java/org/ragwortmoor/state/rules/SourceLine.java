package org.ragwortmoor.state.rules;

/**
 * A rule with the place of its words.
 *
 * @param statement the words
 * @param content the line
 */
record SourceLine(Statement statement, RuleLine content) {
    Rule rule() {
        return content.rule();
    }

    int line() {
        return content.line();
    }
}
