package org.ragwortmoor.coordination.control;

/**
 * The records of a group whose keys start with a prefix.
 *
 * @param group name of the group
 * @param prefix prefix of the keys; empty for all records of the group
 */
public record RuleScope(String group, String prefix) implements Comparable<RuleScope> {
    /** Returns whether this scope contains every record of {@code other}. */
    public boolean covers(RuleScope other) {
        return group.equals(other.group) && other.prefix.startsWith(prefix);
    }

    /** Returns whether {@code next} contains records that {@code current} does not. */
    public static boolean widens(Iterable<RuleScope> current, Iterable<RuleScope> next) {
        for (RuleScope wanted : next) {
            if (!covered(current, wanted)) {
                return true;
            }
        }
        return false;
    }

    private static boolean covered(Iterable<RuleScope> scopes, RuleScope wanted) {
        for (RuleScope scope : scopes) {
            if (scope.covers(wanted)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public int compareTo(RuleScope other) {
        int byGroup = group.compareTo(other.group);
        return byGroup != 0 ? byGroup : prefix.compareTo(other.prefix);
    }
}
