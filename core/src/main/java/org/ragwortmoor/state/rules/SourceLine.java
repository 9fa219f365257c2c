package org.ragwortmoor.state.rules;

/**
 * A rule line together with its words and their columns.
 *
 * @param lexed words of the line
 * @param content parsed line
 */
record SourceLine(LexedLine lexed, RuleLine content) {
    Rule rule() {
        return content.rule();
    }

    int line() {
        return content.line();
    }
}
