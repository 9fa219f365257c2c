package org.ragwortmoor.coordination.control;

import java.util.Set;

/**
 * What the control group needs to know of a correct rule file.
 *
 * @param scopes scopes that the file declares
 */
public record RuleFileSummary(Set<RuleScope> scopes) {
    /** Copies the set. */
    public RuleFileSummary {
        scopes = Set.copyOf(scopes);
    }
}
