package org.ragwortmoor.state.rules;

/**
 * An accepted line of the rule file.
 *
 * @param line number of the line in the file, starting at 1
 * @param rule what the line states
 * @param requester who requested it
 */
public record RuleLine(int line, Rule rule, Requester requester) {
    /** Returns the line as it stands in a rule file. */
    public String text() {
        return rule.text() + "  " + requester.text();
    }

    /** Returns number, rule and requester for messages. */
    public String description() {
        return "line " + line + " (" + rule.text() + "), requested by " + requester.description();
    }

    /** Returns whether both lines state the same for the same requester, wherever they stand. */
    public boolean sameContent(RuleLine other) {
        return rule.equals(other.rule) && requester.equals(other.requester);
    }
}
