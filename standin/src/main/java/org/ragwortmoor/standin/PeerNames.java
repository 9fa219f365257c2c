package org.ragwortmoor.standin;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;

/**
 * The names under which a fault can address the other side of a connection.
 *
 * @param host its IP number
 * @param address its IP number and port
 * @param client name that it gave itself; empty if unknown
 */
record PeerNames(String host, String address, String client) {
    static PeerNames of(SocketAddress remote) {
        if (remote instanceof InetSocketAddress inet && inet.getAddress() != null) {
            String host = inet.getAddress().getHostAddress();
            return new PeerNames(host, host + ":" + inet.getPort(), "");
        }
        return new PeerNames("", "", "");
    }

    static PeerNames ofAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new PeerNames(colon < 0 ? address : address.substring(0, colon), address, "");
    }

    PeerNames withClient(String name) {
        return new PeerNames(host, address, name);
    }

    boolean matchesAny(List<String> peers) {
        for (String peer : peers) {
            if (peer.equals("*")
                    || peer.equals(host)
                    || peer.equals(address)
                    || (!client.isEmpty() && peer.equals(client))) {
                return true;
            }
        }
        return false;
    }
}
