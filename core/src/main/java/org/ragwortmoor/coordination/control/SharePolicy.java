package org.ragwortmoor.coordination.control;

import java.util.Map;
import java.util.SortedMap;

/** Policy that divides the connections or long permits of an endpoint among proxies. */
interface SharePolicy {
    /**
     * The demand of one proxy.
     *
     * @param floor units that the proxy gets in any case
     * @param units units that the proxy could use now
     */
    record Demand(int floor, int units) {}

    /**
     * Returns a share for each proxy; the sum is at most {@code capacity}.
     *
     * @param capacity number of units to allocate, at least the sum of the floors
     * @param demands demand of each proxy
     * @param round number of the current round; units that cannot be divided evenly rotate with it
     */
    Map<String, Integer> allocate(int capacity, SortedMap<String, Demand> demands, long round);
}
