package org.ragwortmoor.coordination.session;

/**
 * Connections of this proxy to each server of a group.
 *
 * @param own connections that are always free for it while all proxies keep to their share
 * @param kept connections that it keeps while they are not used
 * @param most connections that it may open while the server has room
 */
record ConnectionShare(int own, int kept, int most) {
    /** Returns the share of one of {@code proxies} proxies in a server's connections. */
    static ConnectionShare of(int maxConnections, int proxies) {
        int shared = Math.max(1, maxConnections - SessionSettings.RESERVED_CONNECTIONS);
        int own = Math.max(1, shared / Math.max(1, proxies));
        // A server keeps the connections of a lost process for seconds. While the proxies hold no
        // more than half of the connections, new processes of all of them find room at once.
        int kept = Math.max(1, own / 2);
        return new ConnectionShare(own, kept, Math.min(shared, own * SessionSettings.BURST_FACTOR));
    }
}
