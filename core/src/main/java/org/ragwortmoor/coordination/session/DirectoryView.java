package org.ragwortmoor.coordination.session;

import java.util.List;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.RouteTable;

/**
 * What a proxy knows of the directory.
 *
 * @param routes the table in force
 * @param routesRevision log index of its change; never goes back
 * @param servers all servers; at most one of each group is marked as its primary
 * @param serversRevision log index of their newest change; never goes back
 * @param proxies number of proxies that share the servers' connections
 */
public record DirectoryView(
        RouteTable routes,
        long routesRevision,
        List<ServerRecord> servers,
        long serversRevision,
        int proxies) {
    /** What a proxy knows before it has heard of the directory. */
    public static final DirectoryView EMPTY =
            new DirectoryView(RouteTable.EMPTY, 0, List.of(), 0, 1);

    /** Copies the servers. */
    public DirectoryView {
        servers = List.copyOf(servers);
    }
}
