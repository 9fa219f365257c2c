package org.ragwortmoor.state.rules;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One {@link PrefixIndex} per group. */
final class GroupedPrefixes<V> {
    private final Map<String, PrefixIndex<V>> groups;

    private GroupedPrefixes(Map<String, PrefixIndex<V>> groups) {
        this.groups = Map.copyOf(groups);
    }

    /** Returns the value of the longest prefix of {@code key} in {@code group}, or null. */
    V longest(String group, String key) {
        PrefixIndex<V> index = groups.get(group);
        return index == null ? null : index.longest(key);
    }

    /**
     * Returns the value of the longest entry of {@code group} that is a proper prefix of {@code
     * prefix}, or null.
     */
    V enclosing(String group, String prefix) {
        PrefixIndex<V> index = groups.get(group);
        return index == null ? null : index.enclosing(prefix);
    }

    /** Returns the values of all entries of {@code group} that start with {@code prefix}. */
    List<V> within(String group, String prefix) {
        PrefixIndex<V> index = groups.get(group);
        return index == null ? List.of() : index.within(prefix);
    }

    /** Returns whether an entry of {@code group} starts with {@code prefix}. */
    boolean anyWithin(String group, String prefix) {
        PrefixIndex<V> index = groups.get(group);
        return index != null && index.anyWithin(prefix);
    }

    /** Collects entries; if a prefix is added twice, the first value is kept. */
    static final class Builder<V> {
        private final Map<String, TreeMap<String, V>> entries = new HashMap<>();

        void add(String group, String prefix, V value) {
            entries.computeIfAbsent(group, g -> new TreeMap<>()).putIfAbsent(prefix, value);
        }

        GroupedPrefixes<V> build() {
            Map<String, PrefixIndex<V>> built = new HashMap<>();
            entries.forEach((group, map) -> built.put(group, new PrefixIndex<>(map)));
            return new GroupedPrefixes<>(built);
        }
    }
}
