package org.ragwortmoor.state.rules;

/**
 * A glob pattern over principals: {@code *} matches any sequence of characters, including the empty
 * one, and every other character matches itself.
 *
 * @param text text form
 */
public record SessionPattern(String text) {
    private static final char ANY = '*';

    /** Returns whether the pattern has no wildcard and so matches exactly one principal. */
    public boolean exact() {
        return text.indexOf(ANY) < 0;
    }

    /** Returns whether {@code principal} matches. */
    public boolean matches(String principal) {
        return glob(principal);
    }

    /**
     * Returns whether every principal that {@code other} matches also matches this pattern. A
     * wildcard of the other pattern can only be matched by a wildcard of this one, so its text is
     * matched like a principal.
     */
    public boolean covers(SessionPattern other) {
        return glob(other.text);
    }

    /**
     * Matches with a single backtracking point, since only the last wildcard needs to be extended.
     */
    private boolean glob(String subject) {
        int p = 0;
        int s = 0;
        int wildcard = -1;
        int resume = 0;
        while (s < subject.length()) {
            if (p < text.length() && text.charAt(p) == ANY) {
                wildcard = p++;
                resume = s;
            } else if (p < text.length() && text.charAt(p) == subject.charAt(s)) {
                p++;
                s++;
            } else if (wildcard >= 0) {
                p = wildcard + 1;
                s = ++resume;
            } else {
                return false;
            }
        }
        while (p < text.length() && text.charAt(p) == ANY) {
            p++;
        }
        return p == text.length();
    }
}
