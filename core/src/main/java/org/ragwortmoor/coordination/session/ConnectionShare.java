package org.ragwortmoor.coordination.session;

/**
 * Limits on the connections of this proxy to each server of a group.
 *
 * @param guaranteed connections available to this proxy as long as no proxy exceeds its share
 * @param retained connections that are kept open while idle
 * @param maximum connections that may be opened while the server still accepts them
 */
record ConnectionShare(int guaranteed, int retained, int maximum) {
    /** Returns the share of one proxy in a server's connections. */
    static ConnectionShare of(int maxConnections, int proxies) {
        int shareable = Math.max(1, maxConnections - SessionSettings.RESERVED_CONNECTIONS);
        int guaranteed = Math.max(1, shareable / Math.max(1, proxies));
        // A server keeps the connections of a failed process for seconds. As long as the proxies
        // retain no more than half of the connections, replacements of all proxies can connect
        // immediately.
        int retained = Math.max(1, guaranteed / 2);
        return new ConnectionShare(
                guaranteed,
                retained,
                Math.min(shareable, guaranteed * SessionSettings.BURST_FACTOR));
    }
}
