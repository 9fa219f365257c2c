package org.ragwortmoor.state.rules;

/**
 * A pattern over principals. {@code *} stands for any run of characters, also an empty one; every
 * other character stands for itself.
 *
 * @param text text form
 */
public record SessionPattern(String text) {
    private static final char ANY = '*';

    /** Returns whether the pattern names exactly one principal. */
    public boolean exact() {
        return text.indexOf(ANY) < 0;
    }

    /** Returns whether {@code principal} matches. */
    public boolean matches(String principal) {
        return glob(principal);
    }

    /**
     * Returns whether every principal that {@code other} matches also matches this pattern. Only a
     * wildcard of this pattern can absorb a wildcard of the other, so the same matching decides.
     */
    public boolean covers(SessionPattern other) {
        return glob(other.text);
    }

    /** Matches with one point of return, since only the last wildcard needs to be extended. */
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
