package org.ragwortmoor.state.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the first line whose pattern matches a principal; exact names need one look-up. */
final class SessionMatcher {
    private final Map<String, RuleLine> exact;
    private final List<RuleLine> wildcards;

    SessionMatcher(List<RuleLine> grants) {
        Map<String, RuleLine> names = new HashMap<>();
        List<RuleLine> patterns = new ArrayList<>();
        for (RuleLine line : grants) {
            SessionPattern pattern = ((Rule.Grant) line.rule()).session();
            if (pattern.exact()) {
                names.putIfAbsent(pattern.text(), line);
            } else {
                patterns.add(line);
            }
        }
        exact = Map.copyOf(names);
        wildcards = List.copyOf(patterns);
    }

    /** Returns the matching line that stands first in the file, or null. */
    RuleLine find(String principal) {
        RuleLine named = exact.get(principal);
        for (RuleLine line : wildcards) {
            if (named != null && named.line() < line.line()) {
                return named;
            }
            if (((Rule.Grant) line.rule()).session().matches(principal)) {
                return line;
            }
        }
        return named;
    }
}
