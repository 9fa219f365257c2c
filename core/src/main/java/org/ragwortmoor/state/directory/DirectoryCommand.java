package org.ragwortmoor.state.directory;

import org.ragwortmoor.state.routes.RouteTable;

/** A command of the replicated directory. */
public sealed interface DirectoryCommand {
    /** Puts a table in force unless the present one has the same or a higher version. */
    record PutRoutes(RouteTable table) implements DirectoryCommand {}

    /** Records what a server announced. */
    record PutServer(ServerRecord server) implements DirectoryCommand {}

    /** Orders a promotion; its fencing token is the index of this entry. */
    record OrderPromotion(String group, String server, String holder) implements DirectoryCommand {}

    /** Records how many proxies the system has. */
    record CountProxies(int proxies) implements DirectoryCommand {}

    /** Changes nothing; a reader waits for it to see every earlier command. */
    record ReadBarrier(long id) implements DirectoryCommand {}
}
