package org.ragwortmoor.coordination.session;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;

/**
 * The proxies of the system, as known to one of them.
 *
 * @param proxies number of proxies; 0 if unknown
 * @param domains number of failure domains with proxies; 0 if unknown
 * @param neighbours addresses for forwarding of the proxies in the own failure domain, by name
 */
public record Fleet(int proxies, int domains, Map<String, String> neighbours) {
    /** The fleet before the first update from the directory. */
    public static final Fleet UNKNOWN = new Fleet(0, 0, LinkedHashMap.empty());
}
