package org.ragwortmoor.coordination.control;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Equal shares whatever the demand; the baseline for {@link FairShares}. */
final class FixedShares implements ShareRule {
    @Override
    public Map<String, Integer> divide(int capacity, SortedMap<String, Need> needs, long turn) {
        Map<String, Integer> shares = new TreeMap<>();
        int index = 0;
        for (String proxy : needs.keySet()) {
            int each = capacity / needs.size();
            shares.put(proxy, each + (index < capacity % needs.size() ? 1 : 0));
            index++;
        }
        return shares;
    }
}
