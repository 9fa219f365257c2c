package org.ragwortmoor.coordination.control;

import java.util.Map;
import java.util.SortedMap;

/** Divides the connections or long permits of an endpoint among proxies. */
interface ShareRule {
    /**
     * What a proxy needs of an endpoint.
     *
     * @param floor what it gets in any case
     * @param demand what it could use now
     */
    record Need(int floor, int demand) {}

    /**
     * Returns a share for each proxy; the sum is at most {@code capacity}.
     *
     * @param capacity what there is to divide, at least the sum of the floors
     * @param needs needs by proxy
     * @param turn number of the current turn, for what cannot be divided evenly
     */
    Map<String, Integer> divide(int capacity, SortedMap<String, Need> needs, long turn);
}
