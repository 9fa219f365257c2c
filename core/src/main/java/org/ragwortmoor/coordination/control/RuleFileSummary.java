package org.ragwortmoor.coordination.control;

import java.util.Set;

/**
 * The properties of a valid rule file that the control group needs.
 *
 * @param scopes scopes declared in the file
 */
public record RuleFileSummary(Set<RuleScope> scopes) {
    /** Copies the set. */
    public RuleFileSummary {
        scopes = Set.copyOf(scopes);
    }
}
