package org.ragwortmoor.coordination.session;

/**
 * Connections of this proxy to each server of a group.
 *
 * @param own connections that are always free for it while all proxies keep to their share
 * @param most connections that it may open while the server has room
 */
record ConnectionShare(int own, int most) {
    /** Returns the share of one of {@code proxies} proxies in a server's connections. */
    static ConnectionShare of(int maxConnections, int proxies) {
        int shared = Math.max(1, maxConnections - SessionSettings.RESERVED_CONNECTIONS);
        int own = Math.max(1, shared / Math.max(1, proxies));
        return new ConnectionShare(own, Math.min(shared, own * SessionSettings.BURST_FACTOR));
    }
}
