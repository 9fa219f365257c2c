package org.ragwortmoor.state.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the first line whose pattern matches a principal; exact names need a single lookup. */
final class SessionMatcher {
    private final Map<String, RuleLine> exact;
    private final List<RuleLine> wildcards;

    SessionMatcher(List<RuleLine> accessLines) {
        Map<String, RuleLine> names = new HashMap<>();
        List<RuleLine> patterns = new ArrayList<>();
        for (RuleLine line : accessLines) {
            SessionPattern pattern = ((Rule.AccessRule) line.rule()).session();
            if (pattern.exact()) {
                names.putIfAbsent(pattern.text(), line);
            } else {
                patterns.add(line);
            }
        }
        exact = Map.copyOf(names);
        wildcards = List.copyOf(patterns);
    }

    /** Returns the first matching line in the order of the file, or null. */
    RuleLine find(String principal) {
        RuleLine named = exact.get(principal);
        for (RuleLine line : wildcards) {
            if (named != null && named.line() < line.line()) {
                return named;
            }
            if (((Rule.AccessRule) line.rule()).session().matches(principal)) {
                return line;
            }
        }
        return named;
    }
}
