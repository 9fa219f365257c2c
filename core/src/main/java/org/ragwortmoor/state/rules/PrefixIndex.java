package org.ragwortmoor.state.rules;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SortedMap;

/**
 * An immutable map from key prefixes to values that finds the longest prefix of a key.
 *
 * <p>The prefixes are sorted, and each refers to the longest other entry that is a prefix of it,
 * its enclosing entry. The longest prefix of a key is the greatest entry that is not greater than
 * the key, or one that encloses this entry, because every string between a prefix of the key and
 * the key itself starts with that prefix. A lookup is one binary search followed by a walk over the
 * enclosing entries.
 */
final class PrefixIndex<V> {
    private static final int NONE = -1;

    private final String[] prefixes;
    private final List<V> values;
    private final int[] enclosing;

    PrefixIndex(SortedMap<String, V> entries) {
        prefixes = entries.keySet().toArray(String[]::new);
        values = List.copyOf(entries.values());
        enclosing = new int[prefixes.length];
        for (int i = 0; i < prefixes.length; i++) {
            int candidate = i - 1;
            while (candidate != NONE && !prefixes[i].startsWith(prefixes[candidate])) {
                candidate = enclosing[candidate];
            }
            enclosing[i] = candidate;
        }
    }

    /** Returns the value of the longest prefix of {@code key}, or null if there is none. */
    V longest(String key) {
        int i = floor(key);
        while (i != NONE && !key.startsWith(prefixes[i])) {
            i = enclosing[i];
        }
        return i == NONE ? null : values.get(i);
    }

    /**
     * Returns the value of the longest entry that is a proper prefix of {@code prefix}, or null.
     */
    V enclosing(String prefix) {
        int i = floor(prefix);
        while (i != NONE && (prefixes[i].equals(prefix) || !prefix.startsWith(prefixes[i]))) {
            i = enclosing[i];
        }
        return i == NONE ? null : values.get(i);
    }

    /** Returns the values of all entries that start with {@code prefix}. */
    List<V> within(String prefix) {
        List<V> found = new ArrayList<>();
        for (int i = ceiling(prefix); hasEntryWithin(i, prefix); i++) {
            found.add(values.get(i));
        }
        return found;
    }

    /** Returns whether an entry starts with {@code prefix}. */
    boolean anyWithin(String prefix) {
        return hasEntryWithin(ceiling(prefix), prefix);
    }

    private boolean hasEntryWithin(int i, String prefix) {
        return i < prefixes.length && prefixes[i].startsWith(prefix);
    }

    private int floor(String key) {
        int i = Arrays.binarySearch(prefixes, key);
        return i >= 0 ? i : -i - 2;
    }

    private int ceiling(String key) {
        int i = Arrays.binarySearch(prefixes, key);
        return i >= 0 ? i : -i - 1;
    }
}
