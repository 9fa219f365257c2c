package org.ragwortmoor.state.directory;

/**
 * The size of the fleet of proxies.
 *
 * @param proxies number of proxies; 0 if unknown
 * @param domains number of failure domains with proxies; 0 if unknown
 */
public record FleetSize(int proxies, int domains) {
    /** The size before the first count. */
    public static final FleetSize UNKNOWN = new FleetSize(0, 0);
}
