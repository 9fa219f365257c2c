package org.ragwortmoor.coordination.control;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Equal allocation regardless of demand; the baseline for {@link FairSharePolicy}. */
final class EqualSharePolicy implements SharePolicy {
    @Override
    public Map<String, Integer> allocate(
            int capacity, SortedMap<String, Demand> demands, long round) {
        Map<String, Integer> shares = new TreeMap<>();
        int index = 0;
        for (String proxy : demands.keySet()) {
            int each = capacity / demands.size();
            shares.put(proxy, each + (index < capacity % demands.size() ? 1 : 0));
            index++;
        }
        return shares;
    }
}
