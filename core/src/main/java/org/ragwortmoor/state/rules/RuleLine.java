package org.ragwortmoor.state.rules;

/**
 * An accepted line of the rule file.
 *
 * @param line number of the line in the file, starting at 1
 * @param rule rule that the line contains
 * @param requester requester of the line
 */
public record RuleLine(int line, Rule rule, Requester requester) {
    /** Returns the text of the line in a rule file. */
    public String text() {
        return rule.text() + "  " + requester.text();
    }

    /** Returns line number, rule and requester, for use in messages. */
    public String description() {
        return "line " + line + " (" + rule.text() + "), requested by " + requester.description();
    }

    /** Returns whether both lines have the same rule and requester, regardless of line numbers. */
    public boolean sameContent(RuleLine other) {
        return rule.equals(other.rule) && requester.equals(other.requester);
    }
}
