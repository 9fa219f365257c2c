package org.ragwortmoor.coordination.session;

import java.util.List;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.RouteTable;

/**
 * The directory as known to a proxy.
 *
 * @param routes current route table
 * @param routesRevision log index of the last change to the routes; never decreases
 * @param servers all servers; at most one per group is marked as primary
 * @param serversRevision log index of the last change to the servers; never decreases
 * @param fleet proxies that share the connections of the servers
 */
public record DirectoryView(
        RouteTable routes,
        long routesRevision,
        List<ServerRecord> servers,
        long serversRevision,
        Fleet fleet) {
    /** The view before the first update from the directory. */
    public static final DirectoryView EMPTY =
            new DirectoryView(RouteTable.EMPTY, 0, List.of(), 0, Fleet.UNKNOWN);

    /** Copies the servers. */
    public DirectoryView {
        servers = List.copyOf(servers);
    }
}
